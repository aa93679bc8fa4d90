//! On invalid input, the program writes one message to standard error, exits with a non-zero status and sends no
//! further reply.
// Allowed here, because a helper function that panics fails the test that calls it, as an assertion does.
#![allow(clippy::expect_used)]
use std::io::Write;
use std::process::{Command, Stdio};

struct ProgramOutput {
    succeeded: bool,
    standard_output: Vec<u8>,
    standard_error: String,
}

fn run(input: &[u8]) -> ProgramOutput {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    // The program may end before it has read everything; a broken pipe is fine then.
    let _ = child
        .stdin
        .take()
        .expect("standard input is a pipe")
        .write_all(input);
    let output = child.wait_with_output().expect("the program ends");
    ProgramOutput {
        succeeded: output.status.success(),
        standard_output: output.stdout,
        standard_error: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn frame(records: &[&[u8]], tail: &[u8]) -> Vec<u8> {
    let mut frame = vec![0; 4];
    frame.extend((records.len() as u32).to_be_bytes());
    frame.extend(1000f64.to_be_bytes());
    frame.extend(7u32.to_be_bytes());
    for record in records {
        let mut padded = record.to_vec();
        padded.resize(48, 0);
        frame.extend(padded);
    }
    frame.extend(tail);
    let size = frame.len() as u32;
    frame[..4].copy_from_slice(&size.to_be_bytes());
    frame
}

#[test]
fn answers_empty_batch_and_exits_cleanly_at_end_of_input() {
    let output = run(&frame(&[], &[]));
    assert!(
        output.succeeded && output.standard_error.is_empty(),
        "{}",
        output.standard_error
    );
    assert_eq!(
        output.standard_output,
        [0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 7]
    );
}

/// A frame that selects an instance and has one more record.
fn frame_for_instance(record: &[u8], tail: &[u8]) -> Vec<u8> {
    let select_instance: &[u8] = &[10, 0, 3];
    frame(&[select_instance, record], tail)
}

/// Invalid inputs, each with a text that its error message contains.
fn invalid_inputs() -> [(Vec<u8>, &'static str); 10] {
    let start_instance: Vec<u8> = [&[4u8][..], &[0; 8], &[0, 0, 0, 0, 0, 0, 0, 2]].concat();
    let nan_deadline = [&[5u8][..], &[0; 17], &f64::NAN.to_be_bytes()].concat();
    let table_of_two: &[u8] = &[6, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2];
    let table_of_one: &[u8] = &[6, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1];
    [
        (frame(&[], &[])[..9].to_vec(), "frame 1: input ended"),
        (vec![0xff; 8], "frame 1: header: stated size"),
        (frame(&[&[99]], &[]), "record 0: unknown event code 99"),
        (frame(&[&[9]], &[]), "no instance is selected"),
        (
            frame_for_instance(&[2, 3], &[]),
            "refers to table 0: no table with this number was received",
        ),
        (
            frame_for_instance(&start_instance, b"{}"),
            "settings of instance 3: missing field",
        ),
        (
            frame_for_instance(&start_instance, b"{x"),
            "settings of instance 3",
        ),
        (
            frame_for_instance(&nan_deadline, &[]),
            "frame 1, record 1: deadline is not a finite number: NaN",
        ),
        (frame(&[table_of_two], &[0; 47]), "outside the tail"),
        (
            frame(&[table_of_one], &[9; 24]),
            "unknown endpoint availability code 9",
        ),
    ]
}

#[test]
fn names_the_fault_and_writes_no_further_reply() {
    for (invalid_input, message) in invalid_inputs() {
        let output = run(&[frame(&[], &[]), invalid_input].concat());
        let error = output.standard_error;
        assert!(
            !output.succeeded && error.contains(message),
            "wanted {message:?}, got {error:?}"
        );
        assert!(!error.contains("panicked"), "{error}");
        assert_eq!(
            output.standard_output.len(),
            12,
            "only the valid frame before it is answered ({message})"
        );
    }
}
