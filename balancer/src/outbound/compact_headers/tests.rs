//! Headers that are kept.
use super::*;

/// The largest number of fields that hyper accepts.
const MAX_FIELDS: usize = 100;

fn map_of(fields: &[(&'static str, &[u8])]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for &(name, value) in fields {
        let value = HeaderValue::from_bytes(value).expect("a value");
        headers.append(HeaderName::from_static(name), value);
    }
    headers
}

#[test]
fn keeps_names_values_and_repeated_fields() {
    let fields: [(&str, &[u8]); 5] = [
        ("host", b"service.internal"),
        ("x-many", b"first"),
        ("x-empty", b""),
        ("x-many", b"second"),
        ("x-bytes", b"\xff\x80"),
    ];
    for count in 0..=fields.len() {
        let headers = map_of(&fields[..count]);
        assert_eq!(CompactHeaders::from(&headers).to_map(), headers);
    }
}

/// Guards against header maps of kilobytes that are kept for heads of many short fields.
#[test]
fn many_short_fields_take_little_memory() {
    let mut headers = HeaderMap::new();
    for number in 0..MAX_FIELDS {
        let name = HeaderName::try_from(format!("x{number}")).expect("a name");
        headers.append(name, HeaderValue::from_static("1"));
    }
    let compact = CompactHeaders::from(&headers);
    assert!(compact.fields.len() <= MAX_FIELDS * (LENGTHS_BYTES + "x99".len() + 1));
    assert_eq!(compact.to_map(), headers);
}
