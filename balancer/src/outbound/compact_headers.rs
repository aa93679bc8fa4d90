//! Headers that are kept while a request or a response waits.
//!
//! A header map takes a few hundred bytes for each field, however short the field is, and its values
//! are slices of the buffer that the whole head was read into. So what is kept is a copy in one
//! allocation of its own size.
use bytes::{Buf, Bytes};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// Bytes before a name and a value, which state their lengths.
const LENGTHS_BYTES: usize = 2 * size_of::<u32>();
/// Memory of a field in a header map, apart from its name and value.
const MAP_FIELD_BYTES: usize = 192;
/// Bytes of a field on the wire, apart from its name and value.
const WIRE_FIELD_BYTES: usize = 4;

/// Headers in one allocation.
#[derive(Clone, Debug, Default)]
pub struct CompactHeaders {
    field_count: usize,
    /// Of each field the lengths of its name and its value, its name and its value.
    fields: Bytes,
}

impl From<&HeaderMap> for CompactHeaders {
    fn from(headers: &HeaderMap) -> CompactHeaders {
        let length = headers
            .iter()
            .map(|(name, value)| LENGTHS_BYTES + name.as_str().len() + value.len())
            .sum();
        let mut fields = Vec::with_capacity(length);
        for (name, value) in headers {
            append_length(&mut fields, name.as_str().len());
            append_length(&mut fields, value.len());
            fields.extend_from_slice(name.as_str().as_bytes());
            fields.extend_from_slice(value.as_bytes());
        }
        CompactHeaders {
            field_count: headers.len(),
            fields: Bytes::from(fields.into_boxed_slice()),
        }
    }
}

impl CompactHeaders {
    /// The headers as a map, whose values share the memory of these headers.
    pub fn to_map(&self) -> HeaderMap {
        // One more is added to a request.
        let mut headers = HeaderMap::with_capacity(self.field_count + 1);
        let mut rest = self.fields.clone();
        while let Some((name, value)) = take_field(&mut rest) {
            headers.append(name, value);
        }
        headers
    }

    /// Memory that it takes to send these headers: a map of them, and the buffer that they are written
    /// to, which grows by doubling.
    pub fn sending_bytes(&self) -> usize {
        let wire_bytes = self.fields.len() + self.field_count * WIRE_FIELD_BYTES;
        self.field_count * MAP_FIELD_BYTES + 2 * wire_bytes
    }
}

fn append_length(fields: &mut Vec<u8>, length: usize) {
    // hyper rejects heads of more than a few kilobytes.
    let length = u32::try_from(length).unwrap_or(u32::MAX);
    fields.extend_from_slice(&length.to_be_bytes());
}

/// Takes the next field, which was valid when it was appended; `None` after the last one.
fn take_field(rest: &mut Bytes) -> Option<(HeaderName, HeaderValue)> {
    let name_length = rest.try_get_u32().ok()? as usize;
    let value_length = rest.try_get_u32().ok()? as usize;
    if rest.len() < name_length + value_length {
        return None;
    }
    let name = rest.split_to(name_length);
    let value = rest.split_to(value_length);
    let name = HeaderName::from_bytes(&name).ok()?;
    let value = HeaderValue::from_maybe_shared(value).ok()?;
    Some((name, value))
}

#[cfg(test)]
mod tests;
