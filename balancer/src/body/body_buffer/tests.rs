//! Tests of body buffers.
use super::*;
use crate::net::descriptor_budget::DescriptorBudget;

/// Bytes of a test body.
const BODY_BYTES: usize = 64 << 10;
/// Length of a small piece, which does not divide the body's.
const PIECE_BYTES: usize = 321;

fn unlimited() -> MemoryBudget {
    MemoryBudget::new(None, DescriptorBudget::new(64))
}

fn body() -> Vec<u8> {
    (0..BODY_BYTES).map(|index| index as u8).collect()
}

fn buffer_in_pieces(stated_length: Option<u64>) -> BodyBuffer {
    let mut buffer = BodyBuffer::for_request(stated_length, &unlimited());
    for piece in body().chunks(PIECE_BYTES) {
        buffer.append(piece).expect("memory is left");
    }
    buffer
}

#[test]
fn allocates_no_more_than_the_stated_length() {
    let buffer = buffer_in_pieces(Some(BODY_BYTES as u64));
    assert_eq!(buffer.bytes.capacity(), BODY_BYTES);
    assert_eq!(buffer.into_bytes(), body());
}

#[test]
fn short_body_of_unstated_length_takes_little_memory() {
    let mut buffer = BodyBuffer::for_request(None, &unlimited());
    assert_eq!(buffer.bytes.capacity(), 0, "nothing has arrived");
    for piece in body()[..UNSTATED_LENGTH_CAPACITY].chunks(PIECE_BYTES) {
        buffer.append(piece).expect("memory is left");
        assert_eq!(buffer.bytes.capacity(), UNSTATED_LENGTH_CAPACITY);
    }
    for piece in body()[UNSTATED_LENGTH_CAPACITY..].chunks(PIECE_BYTES) {
        buffer.append(piece).expect("memory is left");
        assert_eq!(buffer.bytes.capacity(), BODY_BYTES);
    }
}

#[test]
fn takes_more_than_the_stated_length() {
    let buffer = buffer_in_pieces(Some(7));
    assert_eq!(buffer.into_bytes(), body());
}

#[test]
fn copies_out_all_bytes_from_any_position() {
    let buffer = buffer_in_pieces(None);
    for start in [0, 1, BODY_BYTES - 1, BODY_BYTES] {
        let mut copied = Vec::new();
        while let Some(chunk) = buffer.chunk_at(start + copied.len()) {
            assert!(chunk.len() <= MAX_COPIED_CHUNK_BYTES);
            copied.extend_from_slice(&chunk);
        }
        assert_eq!(copied, body()[start..]);
    }
    assert_eq!(buffer.chunk_at(BODY_BYTES + 1), None);
}
