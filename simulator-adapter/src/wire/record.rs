//! Event records: 48 bytes each, a code followed by the fields that belong to this code.
use crate::wire::endpoints::{decode_endpoint, EndpointTable, ENDPOINT_BYTES};
use crate::wire::error::RecordError;
use crate::wire::field::{FieldReader, UPSTREAM_BYTES};
use balancer_core::{AttemptOutcome, Event, Request, RequestId};
use std::ops::Range;

/// Size of an event record, in bytes.
pub(super) const EVENT_BYTES: usize = 48;
/// Size of the key that a request concerns, in bytes. The balancer does not use it.
const REQUEST_KEY_BYTES: usize = 8;
/// Size of an endpoint list's version, in bytes. The balancer does not use it.
const LIST_VERSION_BYTES: usize = 8;

/// Codes of event records.
mod event_code {
    pub(super) const TIMER: u8 = 0;
    pub(super) const STOP_INSTANCE: u8 = 1;
    pub(super) const ENDPOINT_UPDATE: u8 = 2;
    pub(super) const HEALTH_CHECK_RESULT: u8 = 3;
    pub(super) const START_INSTANCE: u8 = 4;
    pub(super) const REQUEST: u8 = 5;
    pub(super) const ENDPOINT_TABLE: u8 = 6;
    pub(super) const PEER_MESSAGE: u8 = 7;
    pub(super) const ATTEMPT_ENDED: u8 = 8;
    pub(super) const CLIENT_DISCONNECTED: u8 = 9;
    pub(super) const SELECT_INSTANCE: u8 = 10;
    pub(super) const RESPONSE_STARTED: u8 = 11;
}

/// Codes for how an attempt ended.
mod outcome_code {
    pub(super) const SUCCESS: u16 = 200;
    pub(super) const TIMEOUT: u16 = 408;
    pub(super) const NOT_SENT: u16 = 409;
    pub(super) const REJECTED: u16 = 429;
    pub(super) const CANCELLED: u16 = 444;
    pub(super) const ERROR: u16 = 502;
    pub(super) const RESET: u16 = 520;
    pub(super) const CONNECT_FAILED: u16 = 521;
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// The following records concern this instance.
    SelectInstance(u16),
    /// The selected instance starts.
    StartInstance {
        /// Seed of the instance's random choices.
        seed: u64,
        /// Position of its settings in the batch's tail, in bytes.
        settings: Range<usize>,
    },
    /// The selected instance stops: it is killed, so it gives no more actions.
    StopInstance,
    /// An endpoint list. Endpoint updates for any instance of the process refer to it by its
    /// number.
    EndpointTable {
        /// Its number.
        number: u32,
        /// The list.
        endpoints: EndpointTable,
    },
    /// An instance's endpoint list changed, or a call to discovery failed.
    EndpointUpdate {
        /// Code of the update, see [`crate::wire::endpoint_event`].
        update_code: u8,
        /// The number of the table with the endpoints.
        table: u32,
    },
    /// An event for the core.
    Event(Event),
    /// A health check result or a peer message, neither of which the balancer uses.
    Ignored,
}

/// Decodes a record of [`EVENT_BYTES`] bytes.
pub(super) fn decode_record(record: &[u8], tail: &[u8]) -> Result<Record, RecordError> {
    let mut fields = FieldReader::new(record);
    match fields.u8() {
        event_code::TIMER => Ok(Record::Event(Event::Timer(fields.u32()))),
        event_code::STOP_INSTANCE => Ok(Record::StopInstance),
        event_code::ENDPOINT_UPDATE => Ok(decode_endpoint_update(fields)),
        event_code::HEALTH_CHECK_RESULT | event_code::PEER_MESSAGE => Ok(Record::Ignored),
        event_code::START_INSTANCE => decode_start_instance(fields, tail),
        event_code::REQUEST => decode_request(fields),
        event_code::ENDPOINT_TABLE => decode_endpoint_table(fields, tail),
        event_code::ATTEMPT_ENDED => decode_attempt_ended(fields),
        event_code::CLIENT_DISCONNECTED => {
            let request = RequestId(fields.u32());
            Ok(Record::Event(Event::ClientDisconnected(request)))
        }
        event_code::SELECT_INSTANCE => Ok(Record::SelectInstance(fields.u16())),
        event_code::RESPONSE_STARTED => Ok(decode_response_started(fields)),
        code => Err(RecordError::UnknownEvent(code)),
    }
}

fn decode_endpoint_update(mut fields: FieldReader<'_>) -> Record {
    let update_code = fields.u8();
    fields.skip(LIST_VERSION_BYTES);
    let table = fields.u32();
    Record::EndpointUpdate { update_code, table }
}

fn decode_start_instance(mut fields: FieldReader<'_>, tail: &[u8]) -> Result<Record, RecordError> {
    let seed = fields.u64();
    let start = fields.u32();
    let length = u64::from(fields.u32());
    let settings = tail_range("settings", tail, start, length)?;
    Ok(Record::StartInstance { seed, settings })
}

fn decode_request(mut fields: FieldReader<'_>) -> Result<Record, RecordError> {
    let id = RequestId(fields.u32());
    let class = usize::from(fields.u8());
    let tenant = fields.u32() as usize;
    fields.skip(REQUEST_KEY_BYTES);
    let deadline = require_finite("deadline", fields.f64())?;
    let request = Request {
        id,
        class,
        tenant,
        deadline,
    };
    Ok(Record::Event(Event::Request(request)))
}

fn decode_endpoint_table(mut fields: FieldReader<'_>, tail: &[u8]) -> Result<Record, RecordError> {
    let number = fields.u32();
    let start = fields.u32();
    let length = u64::from(fields.u32()) * ENDPOINT_BYTES as u64;
    let entries = tail_range("endpoint entries", tail, start, length)?;
    let endpoints = tail[entries]
        .chunks_exact(ENDPOINT_BYTES)
        .map(decode_endpoint)
        .collect::<Result<_, _>>()?;
    Ok(Record::EndpointTable { number, endpoints })
}

fn decode_attempt_ended(mut fields: FieldReader<'_>) -> Result<Record, RecordError> {
    let request = RequestId(fields.u32());
    let attempt = u32::from(fields.u16());
    fields.skip(UPSTREAM_BYTES);
    let outcome = decode_outcome(fields.u16());
    let duration = require_finite("duration", fields.f64())?;
    let request_completed = fields.u8() != 0;
    Ok(Record::Event(Event::AttemptEnded {
        request,
        attempt,
        outcome,
        duration,
        request_completed,
    }))
}

fn decode_response_started(mut fields: FieldReader<'_>) -> Record {
    let request = RequestId(fields.u32());
    fields.skip(UPSTREAM_BYTES);
    let attempt = u32::from(fields.u16());
    Record::Event(Event::ResponseStarted { request, attempt })
}

/// Decodes how an attempt ended. A code that the protocol does not document counts as
/// [`AttemptOutcome::Unknown`].
pub(super) fn decode_outcome(code: u16) -> AttemptOutcome {
    match code {
        outcome_code::SUCCESS => AttemptOutcome::Success,
        outcome_code::ERROR => AttemptOutcome::Error,
        outcome_code::REJECTED => AttemptOutcome::Rejected,
        outcome_code::TIMEOUT => AttemptOutcome::Timeout,
        outcome_code::CONNECT_FAILED => AttemptOutcome::ConnectFailed,
        outcome_code::RESET => AttemptOutcome::Reset,
        outcome_code::CANCELLED => AttemptOutcome::Cancelled,
        outcome_code::NOT_SENT => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Unknown,
    }
}

/// The range of the tail that a record refers to. `field` names the data in the error.
fn tail_range(
    field: &'static str,
    tail: &[u8],
    start: u32,
    length: u64,
) -> Result<Range<usize>, RecordError> {
    let end = u64::from(start) + length;
    if end > tail.len() as u64 {
        return Err(RecordError::OutsideTail {
            field,
            start,
            end,
            tail: tail.len(),
        });
    }
    Ok(start as usize..end as usize)
}

/// Checks that a value is finite. `field` names the value in the error.
pub(super) fn require_finite(field: &'static str, value: f64) -> Result<f64, RecordError> {
    if !value.is_finite() {
        return Err(RecordError::NotFinite { field, value });
    }
    Ok(value)
}
