//! Scans the head of a client's request while it arrives: where the head ends, how large it is, and
//! where the body ends. hyper does not report the last: it drops `Content-Length` if there is a
//! `Transfer-Encoding`.
use thiserror::Error;

/// How much of a line is kept until it is complete. A longer line with one of the two headers that
/// determine the length of a body counts as ambiguous.
const MAX_KEPT_LINE_BYTES: usize = 256;

/// How the end of a request's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes.
    Length(u64),
    /// The end of the body is not determined here: the body is chunked, or hyper rejects the head.
    Untracked,
}

/// A head with more than one header that determines the length of its body, or with one that is too
/// long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the Content-Length and Transfer-Encoding headers must not be repeated or combined")]
pub struct AmbiguousFraming;

/// The size of the part of a head that has been scanned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeadSize {
    /// Bytes, with line ends.
    pub bytes: usize,
    /// Complete lines.
    pub lines: usize,
}

impl HeadSize {
    /// Whether neither the bytes nor the lines are more than in `limit`.
    pub fn is_within(self, limit: HeadSize) -> bool {
        self.bytes <= limit.bytes && self.lines <= limit.lines
    }
}

/// Scans one head line by line. Keeps the start of the current line only.
#[derive(Default)]
pub struct HeadScanner {
    size: HeadSize,
    line: Vec<u8>,
    is_line_truncated: bool,
    length_headers: usize,
    coding_headers: usize,
    /// The stated length of the body; `None` if it is malformed.
    length: Option<u64>,
    is_ambiguous: bool,
}

impl HeadScanner {
    /// Whether any byte of the head has been scanned.
    pub fn has_begun(&self) -> bool {
        self.size.bytes > 0
    }

    /// The size of what has been scanned.
    pub fn size(&self) -> HeadSize {
        self.size
    }

    /// Scans bytes of the head. Returns how many of them belong to it if it is complete with them, and
    /// `None` if it goes on.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut scanned = 0;
        while let Some(end) = bytes[scanned..].iter().position(|&byte| byte == b'\n') {
            self.append(&bytes[scanned..scanned + end + 1]);
            scanned += end + 1;
            if self.finish_line() {
                return Some(scanned);
            }
        }
        self.append(&bytes[scanned..]);
        None
    }

    /// The framing of the body, once the head is complete.
    pub fn framing(&self) -> Result<BodyFraming, AmbiguousFraming> {
        if self.is_ambiguous {
            return Err(AmbiguousFraming);
        }
        match (self.length_headers, self.coding_headers) {
            (0, 0) => Ok(BodyFraming::Length(0)),
            (1, 0) => Ok(self
                .length
                .map_or(BodyFraming::Untracked, BodyFraming::Length)),
            (0, 1) => Ok(BodyFraming::Untracked),
            _ => Err(AmbiguousFraming),
        }
    }

    fn append(&mut self, part: &[u8]) {
        self.size.bytes += part.len();
        let kept = part.len().min(MAX_KEPT_LINE_BYTES - self.line.len());
        self.line.extend_from_slice(&part[..kept]);
        self.is_line_truncated |= kept < part.len();
    }

    /// Evaluates the line, which is complete. Returns whether it is the empty line that ends the head.
    fn finish_line(&mut self) -> bool {
        self.size.lines += 1;
        let is_end = matches!(self.line.as_slice(), b"\n" | b"\r\n");
        self.record_header();
        self.line.clear();
        self.is_line_truncated = false;
        is_end
    }

    fn record_header(&mut self) {
        let mut parts = self.line.splitn(2, |&byte| byte == b':');
        let (Some(name), Some(value)) = (parts.next(), parts.next()) else {
            return;
        };
        let name = name.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.length_headers += 1;
            self.length = parse_length(value);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.coding_headers += 1;
        } else {
            return;
        }
        self.is_ambiguous |= self.is_line_truncated;
    }
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(value.trim_ascii()).ok()?;
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}

#[cfg(test)]
mod tests;
