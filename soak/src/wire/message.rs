//! A message and what its head says.
use std::time::Duration;
use tokio::time::Instant;

/// A complete message.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or status line.
    pub start_line: String,
    /// The headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When the first byte arrived.
    pub first_byte_at: Instant,
}

impl Message {
    /// The value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status code of a response.
    pub fn status(&self) -> Option<u16> {
        self.start_line.split(' ').nth(1)?.parse().ok()
    }

    /// The value of a header that states a duration, in milliseconds (`250m`) or microseconds (`250000u`).
    pub fn duration_header(&self, name: &str) -> Option<Duration> {
        let value = self.header(name)?;
        let milliseconds = match value.strip_suffix('u') {
            Some(microseconds) => microseconds.parse::<f64>().ok()? / 1000.0,
            None => value.strip_suffix('m')?.parse::<f64>().ok()?,
        };
        Some(Duration::from_secs_f64(milliseconds / 1000.0))
    }

    /// The value of a query parameter of a request, if it is a number.
    pub fn query_parameter(&self, name: &str) -> Option<u64> {
        let target = self.start_line.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        let value = query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value?.parse().ok()
    }

    pub(super) fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }

    /// Whether the body of a message without a stated length ends with the connection: it does in a response with status
    /// 200. Other messages without a length have no body.
    pub(super) fn ends_with_connection(&self) -> bool {
        self.start_line.starts_with("HTTP/") && self.status() == Some(200)
    }
}
