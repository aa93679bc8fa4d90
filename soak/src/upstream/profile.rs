//! How an upstream responds: its latency and the probability of each misbehavior.
use crate::observations::AttemptOutcome;
use rand::rngs::StdRng;
use rand::RngExt;

/// The latency of an upstream, and the probability of each misbehavior from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamProfile {
    /// Mean time to respond, in milliseconds.
    pub mean_latency_ms: f64,
    /// Responds with status 500.
    pub error: f64,
    /// Rejects the request, with the header that states that it was not executed.
    pub rejection: f64,
    /// Resets the connection after the complete request.
    pub reset: f64,
    /// Resets the connection after the first byte of the request.
    pub early_reset: f64,
    /// Does not respond.
    pub no_response: f64,
    /// Truncates the response.
    pub truncated_response: f64,
    /// Responds with something other than HTTP.
    pub malformed_response: f64,
    /// Responds twice.
    pub surplus_response: f64,
    /// Responds without a length: the response ends with the connection.
    pub response_without_length: f64,
    /// Closes the idle connection after a response, without notice.
    pub idle_close: f64,
    /// Accepts the connection, but reads nothing from it.
    pub unresponsive_connection: f64,
}

/// What an upstream does with one request.
#[derive(Clone, Copy, Debug)]
pub(super) enum ResponseAction {
    /// Sends a complete response.
    Respond {
        status: &'static str,
        outcome: AttemptOutcome,
    },
    Reset,
    NoResponse,
    TruncatedResponse,
    MalformedResponse,
    SurplusResponse,
    ResponseWithoutLength,
}

impl ResponseAction {
    /// Serves the request.
    pub(super) const SERVE: ResponseAction = ResponseAction::Respond {
        status: "200 OK",
        outcome: AttemptOutcome::Success,
    };
    /// Fails the request.
    pub(super) const FAIL: ResponseAction = ResponseAction::Respond {
        status: "500 Internal Server Error",
        outcome: AttemptOutcome::Error,
    };
    /// Rejects the request. The header states that it was not executed.
    pub(super) const REJECT: ResponseAction = ResponseAction::Respond {
        status: "503 Service Unavailable\r\nSrv-Declined: 1",
        outcome: AttemptOutcome::Rejected,
    };
}

impl UpstreamProfile {
    /// Draws the time to respond, in milliseconds.
    pub(super) fn draw_latency_ms(&self, random: &mut StdRng) -> f64 {
        -self.mean_latency_ms * (1.0 - random.random::<f64>()).ln()
    }

    /// Draws what happens to one request.
    pub(super) fn draw_action(&self, random: &mut StdRng) -> ResponseAction {
        let misbehaviors = [
            (self.error, ResponseAction::FAIL),
            (self.rejection, ResponseAction::REJECT),
            (self.reset, ResponseAction::Reset),
            (self.no_response, ResponseAction::NoResponse),
            (self.truncated_response, ResponseAction::TruncatedResponse),
            (self.malformed_response, ResponseAction::MalformedResponse),
            (self.surplus_response, ResponseAction::SurplusResponse),
            (
                self.response_without_length,
                ResponseAction::ResponseWithoutLength,
            ),
        ];
        let mut remaining = random.random::<f64>();
        for (probability, action) in misbehaviors {
            remaining -= probability;
            if remaining < 0.0 {
                return action;
            }
        }
        ResponseAction::SERVE
    }
}
