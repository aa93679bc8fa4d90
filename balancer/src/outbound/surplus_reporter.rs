//! Reports surplus data on a connection: to its upstream, the metrics and the log.
use crate::net::shared_stream::SharedStream;
use crate::outbound::request_history::RequestHistory;
use crate::outbound::surplus_history::{SurplusCause, LONG_REUSE_DELAY};
use crate::telemetry::log::LogOutput;
use crate::telemetry::upstream_counts::UpstreamCounts;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// Receives the reports of surplus data of one upstream.
pub trait SurplusRecipient {
    /// Where the upstream listens.
    fn address(&self) -> SocketAddr;

    /// Records that surplus data with this cause was detected. Returns the length of the period for
    /// which the upstream is suspect, if that period begins now.
    fn record_surplus(&self, cause: SurplusCause, now: Instant) -> Option<Duration>;
}

/// Reports surplus data on one connection to an upstream.
#[derive(Clone)]
pub struct SurplusReporter {
    recipient: Weak<dyn SurplusRecipient>,
    socket: SharedStream,
    request_history: Rc<RequestHistory>,
    counts: Rc<UpstreamCounts>,
}

impl SurplusReporter {
    /// Creates a reporter for one connection. It reports to `recipient`, the upstream, as long as
    /// that exists.
    pub fn new(
        recipient: Weak<dyn SurplusRecipient>,
        socket: SharedStream,
        counts: Rc<UpstreamCounts>,
    ) -> SurplusReporter {
        SurplusReporter {
            recipient,
            socket,
            request_history: Rc::default(),
            counts,
        }
    }

    /// The history of the requests that the connection has carried.
    pub fn request_history(&self) -> &RequestHistory {
        &self.request_history
    }

    /// Reports that surplus data was detected on the connection. Unless the reuse delay covers it,
    /// requests in flight on reused connections get no response from them.
    pub fn report(&self) {
        let now = Instant::now();
        let is_duplicate = self.socket.is_response_repeated();
        let cause = self.request_history.cause_of_surplus(is_duplicate, now);
        self.report_cause(cause, now);
    }

    /// Reports a response that arrived before its request was written completely. If the response
    /// is a duplicate of an earlier one, its delay is longer than the reuse delay that was in
    /// force.
    pub fn report_early_response(&self) {
        self.report_cause(SurplusCause::Unexplained, Instant::now());
    }

    fn report_cause(&self, cause: SurplusCause, now: Instant) {
        let Some(recipient) = self.recipient.upgrade() else {
            return;
        };
        self.counts.record_surplus();
        let address = recipient.address();
        tracing::debug!(upstream = %address, evidence = ?cause, "surplus data detected");
        if let Some(period) = recipient.record_surplus(cause, now) {
            LogOutput::StandardError.write_line(&format!(
                "upstream {address}: data beyond its responses: one request per connection \
                 for {} s, or a wait of up to {} s before its next request",
                period.as_secs(),
                LONG_REUSE_DELAY.as_secs_f64()
            ));
        }
    }

    /// Reports surplus data if it caused the error with which the connection ended.
    pub fn report_if_surplus_caused(&self, error: &hyper::Error) {
        if is_caused_by_surplus_data(error) {
            self.report();
        }
    }
}

/// Whether surplus data caused this error: this error, or else its source, is hyper's error for an
/// unexpected message.
fn is_caused_by_surplus_data(error: &hyper::Error) -> bool {
    match error.source() {
        None => is_unexpected_message(error),
        Some(source) => source
            .downcast_ref::<hyper::Error>()
            .is_some_and(is_unexpected_message),
    }
}

/// Whether hyper received a message that it did not expect. hyper has no predicate for this kind of
/// error: it is the one kind without a source that no other predicate recognizes.
fn is_unexpected_message(error: &hyper::Error) -> bool {
    error.source().is_none()
        && !error.is_parse()
        && !error.is_user()
        && !error.is_canceled()
        && !error.is_closed()
        && !error.is_incomplete_message()
        && !error.is_timeout()
}

#[cfg(test)]
mod tests;
