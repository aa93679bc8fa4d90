//! Encodes replies: action records of 24 bytes, grouped by instance.
use crate::wire::field::FieldWriter;
use balancer_core::{Action, Millis, RequestId, UpstreamId};

/// Size of a reply's header, in bytes.
const HEADER_BYTES: usize = 12;
/// Size of an action record, in bytes.
const ACTION_BYTES: usize = 24;
/// Value of a flag that is set.
const FLAG_SET: u8 = 1;

/// Codes of action records.
mod action_code {
    pub(super) const FAIL: u8 = 1;
    pub(super) const CLOSE_IDLE_CONNECTIONS: u8 = 2;
    pub(super) const REJECT: u8 = 3;
    pub(super) const POLL_ENDPOINTS: u8 = 5;
    pub(super) const LOG: u8 = 6;
    pub(super) const SEND: u8 = 7;
    pub(super) const SELECT_INSTANCE: u8 = 8;
    pub(super) const SET_TIMER: u8 = 10;
    pub(super) const CANCEL: u8 = 12;
}

/// Collects the action records of one reply, and their data of variable size.
#[derive(Default)]
pub struct ReplyBuilder {
    records: Vec<u8>,
    tail: Vec<u8>,
    record_count: u32,
}

impl ReplyBuilder {
    /// Adds a record that selects the instance to which the following actions belong.
    pub fn select_instance(&mut self, instance: u16) {
        self.push_record(action_code::SELECT_INSTANCE).u16(instance);
    }

    /// Adds a record for an action.
    pub fn push_action(&mut self, action: &Action) {
        match action {
            Action::Send {
                request,
                upstream,
                timeout,
            } => self.push_send(*request, *upstream, *timeout),
            Action::Cancel { request, attempt } => {
                self.push_record(action_code::CANCEL)
                    .u32(request.0)
                    .u16(*attempt as u16);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.push_record(action_code::REJECT)
                    .u32(request.0)
                    .f64(*retry_after);
            }
            Action::Fail { request } => {
                self.push_record(action_code::FAIL).u32(request.0);
            }
            Action::CloseIdleConnections(upstream) => {
                self.push_record(action_code::CLOSE_IDLE_CONNECTIONS)
                    .upstream(*upstream);
            }
            Action::PollEndpoints => {
                self.push_record(action_code::POLL_ENDPOINTS).u8(FLAG_SET);
            }
            Action::SetTimer { after, token } => {
                self.push_record(action_code::SET_TIMER)
                    .f64(*after)
                    .u32(*token);
            }
            Action::Log(text) => self.push_log(text),
        }
    }

    fn push_send(&mut self, request: RequestId, upstream: UpstreamId, timeout: Millis) {
        self.push_record(action_code::SEND)
            .u32(request.0)
            .upstream(upstream)
            .f64(timeout);
    }

    fn push_log(&mut self, text: &str) {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        self.push_record(action_code::LOG)
            .u32(offset)
            .u32(text.len() as u32);
    }

    /// Adds a record with this code and zeros, and returns a writer for the fields after the code.
    fn push_record(&mut self, code: u8) -> FieldWriter<'_> {
        let start = self.records.len();
        self.records.resize(start + ACTION_BYTES, 0);
        self.record_count += 1;
        let mut fields = FieldWriter::new(&mut self.records[start..]);
        fields.u8(code);
        fields
    }

    /// Returns the frame that answers batch `number`, and empties the builder.
    pub fn finish(&mut self, number: u32) -> Vec<u8> {
        let size = HEADER_BYTES + self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(size);
        frame.extend_from_slice(&(size as u32).to_be_bytes());
        frame.extend_from_slice(&self.record_count.to_be_bytes());
        frame.extend_from_slice(&number.to_be_bytes());
        frame.append(&mut self.records);
        frame.append(&mut self.tail);
        self.record_count = 0;
        frame
    }
}
