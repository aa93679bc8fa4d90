//! Reads TOML files.
use crate::error::ScaleError;
use serde::de::DeserializeOwned;
use std::fs;
use std::path::Path;

/// Reads a TOML file. The error contains the number of the invalid line.
pub fn read_toml<T: DeserializeOwned>(path: &Path) -> Result<T, ScaleError> {
    let text = fs::read_to_string(path).map_err(|source| ScaleError::Unreadable {
        path: path.to_path_buf(),
        source,
    })?;
    toml::from_str(&text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        ScaleError::Malformed {
            path: path.to_path_buf(),
            line: line_number(&text, offset),
            message: error.message().replace('\n', " "),
        }
    })
}

/// The line of a byte, counted from one.
fn line_number(text: &str, offset: usize) -> usize {
    let line_ends = text
        .bytes()
        .take(offset)
        .filter(|&byte| byte == b'\n')
        .count();
    line_ends + 1
}
