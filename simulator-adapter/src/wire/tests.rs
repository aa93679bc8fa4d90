//! Decodes and encodes the example frames of the protocol's documentation, and rejects malformed frames.
use super::record::decode_outcome;
use super::*;
use balancer_core::{Action, AttemptOutcome, EndpointEvent, Event, Request, RequestId, UpstreamId};

const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 24;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().filter_map(|c| c.to_digit(16)).collect();
    digits
        .chunks(2)
        .map(|pair| (pair[0] * 16 + pair[1]) as u8)
        .collect()
}

fn padded(hex: &str, size: usize) -> Vec<u8> {
    let mut padded = bytes(hex);
    padded.resize(size, 0);
    padded
}

#[test]
fn decodes_documented_empty_batch_and_encodes_its_reply() {
    let batch = decode_batch(&bytes("00000014 00000000 40c06e2000000000 00000001"), 0).unwrap();
    assert_eq!(batch.now, 8412.25);
    assert_eq!(batch.number, 1);
    assert_eq!(batch.records.len(), 0);
    assert_eq!(
        ReplyBuilder::default().finish(1),
        bytes("0000000c 00000000 00000001")
    );
}

#[test]
fn decodes_documented_batch() {
    let mut frame = bytes("00000104 00000005 40c06e2000000000 0000000c");
    frame.extend(padded("0a 0003", EVENT_BYTES));
    frame.extend(padded(
        "05 5d3a91c4 00 00000000 91f03b7c55d20a64 40c0e62000000000 4028000000000000 01",
        EVENT_BYTES,
    ));
    frame.extend(padded("00 0000004d", EVENT_BYTES));
    frame.extend(padded("0a 0005", EVENT_BYTES));
    frame.extend(padded("09 0e6f2b19", EVENT_BYTES));
    let batch = decode_batch(&frame, 0).unwrap();
    let request = Request {
        id: RequestId(0x5d3a_91c4),
        class: 0,
        tenant: 0,
        deadline: 8652.25,
    };
    let disconnected = RequestId(0x0e6f_2b19);
    assert_eq!(
        batch.records,
        [
            Record::SelectInstance(3),
            Record::Event(Event::Request(request)),
            Record::Event(Event::Timer(0x4d)),
            Record::SelectInstance(5),
            Record::Event(Event::ClientDisconnected(disconnected)),
        ]
    );
}

#[test]
fn encodes_documented_reply() {
    let mut reply = ReplyBuilder::default();
    reply.select_instance(3);
    reply.push_action(&Action::Send {
        request: RequestId(0x5d3a_91c4),
        upstream: UpstreamId(0x0a12_4a07_2bc3),
        timeout: 80.0,
    });
    reply.push_action(&Action::SetTimer {
        after: 500.0,
        token: 0x4d,
    });
    reply.select_instance(5);
    reply.push_action(&Action::Log("two servers known".into()));
    let mut expected = bytes("00000095 00000005 0000000c");
    expected.extend(padded("08 0003", ACTION_BYTES));
    expected.extend(padded(
        "07 5d3a91c4 0a124a07 2bc3 4054000000000000",
        ACTION_BYTES,
    ));
    expected.extend(padded("0a 407f400000000000 0000004d", ACTION_BYTES));
    expected.extend(padded("08 0005", ACTION_BYTES));
    expected.extend(padded("06 00000000 00000011", ACTION_BYTES));
    expected.extend(b"two servers known");
    assert_eq!(reply.finish(12), expected);
}

#[test]
fn encodes_every_other_action_as_documented() {
    let request = RequestId(0x5d3a_91c4);
    let cases = [
        (
            Action::Cancel {
                request,
                attempt: 2,
            },
            "0c 5d3a91c4 0002",
        ),
        (
            Action::Reject {
                request,
                retry_after: 80.0,
            },
            "03 5d3a91c4 4054000000000000",
        ),
        (Action::Fail { request }, "01 5d3a91c4"),
        (
            Action::CloseIdleConnections(UpstreamId(0x0a12_4a07_2bc3)),
            "02 0a124a07 2bc3",
        ),
        (Action::PollEndpoints, "05 01"),
    ];
    for (action, record) in cases {
        let mut reply = ReplyBuilder::default();
        reply.push_action(&action);
        let mut expected = bytes("00000024 00000001 00000007");
        expected.extend(padded(record, ACTION_BYTES));
        assert_eq!(reply.finish(7), expected, "{action:?}");
    }
}

#[test]
fn decodes_documented_outcome_and_response_start() {
    let mut frame = bytes("00000074 00000002 40c06e2000000000 0000000c");
    frame.extend(padded(
        "08 5d3a91c4 0000 0a124a07 2bc3 00c8 4032800000000000 01",
        EVENT_BYTES,
    ));
    frame.extend(padded(
        "0b 5d3a91c4 0a124a07 2bc3 0001 4032800000000000",
        EVENT_BYTES,
    ));
    let batch = decode_batch(&frame, 0).unwrap();
    let request = RequestId(0x5d3a_91c4);
    assert_eq!(
        batch.records,
        [
            Record::Event(Event::AttemptEnded {
                request,
                attempt: 0,
                outcome: AttemptOutcome::Success,
                duration: 18.5,
                request_completed: true,
            }),
            Record::Event(Event::ResponseStarted {
                request,
                attempt: 1,
            }),
        ]
    );
}

#[test]
fn decodes_documented_endpoint_list() {
    let mut frame = bytes("00000000 00000001 40c06e2000000000 0000000c");
    frame.extend(padded("06 00000000 00000000 00000002", EVENT_BYTES));
    frame.extend(bytes(
        "0a124a07 2bc3 0000 00 0000 03 3f800000 0000000000000000",
    ));
    frame.extend(bytes(
        "0a9011f2 2bec 0000 00 0000 03 3fc00000 40b7d40000000000",
    ));
    let size = frame.len() as u32;
    frame[..4].copy_from_slice(&size.to_be_bytes());
    let batch = decode_batch(&frame, 0).unwrap();
    let Record::EndpointTable {
        number: 0,
        endpoints,
    } = &batch.records[0]
    else {
        panic!("{batch:?}")
    };
    assert_eq!(endpoints[1].id, UpstreamId(0x0a90_11f2_2bec));
    assert_eq!(endpoints[1].started_at, 6100.0);
    assert!(
        matches!(endpoint_event(2, Some(endpoints)), Ok(EndpointEvent::Delta(m)) if m.len() == 2)
    );
}

#[test]
fn rejects_malformed_frames_with_an_error_that_names_the_fault() {
    let read = |input: &[u8]| read_frame(&mut &input[..], 4).map_err(|error| error.to_string());
    assert!(matches!(read(&[]), Ok(None)));
    assert!(read(&[0, 0]).unwrap_err().contains("ended after 2 of 4"));
    assert!(read(&bytes("ffffffff 00000000"))
        .unwrap_err()
        .contains("stated size"));
    assert!(read(&bytes("00000014 00000000"))
        .unwrap_err()
        .contains("ended after 8 of 20"));

    let decode_error = |frame: &[u8]| decode_batch(frame, 2).unwrap_err().to_string();
    let mut frame = bytes("00000044 00000001 40c06e2000000000 00000001");
    frame.extend(padded("63", EVENT_BYTES));
    assert!(decode_error(&frame).contains("unknown event code 99"));
    frame[7] = 2;
    assert!(decode_error(&frame).contains("do not fit"));
    frame[7] = 1;
    for (code, fields) in [
        ("06", "00000000 00000000 ffffffff"),
        ("04", "0000000000000000 00000000 7fffffff"),
    ] {
        frame.truncate(20);
        frame.extend(padded(&format!("{code} {fields}"), EVENT_BYTES));
        assert!(decode_error(&frame).contains("outside the tail"));
    }
}

#[test]
fn undocumented_outcome_does_not_prove_that_request_did_not_run() {
    assert_eq!(decode_outcome(777), AttemptOutcome::Unknown);
    assert!(!decode_outcome(777).never_ran());
}
