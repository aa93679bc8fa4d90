//! The rules that every action of the balancer must follow.
use super::harness::{AttemptRecord, RequestRecord, TestHarness};
use balancer_core::{
    Action, AttemptOutcome, Availability, Class, DedupScope, Endpoint, Idempotency, RequestId,
    UpstreamId,
};

impl TestHarness {
    /// Checks an action, and records its effect on requests and timers.
    pub(super) fn check_action(&mut self, action: &Action) {
        match action {
            Action::Send {
                request,
                upstream,
                timeout,
            } => self.check_send(*request, *upstream, *timeout),
            Action::Reject { request, .. } => {
                self.check_rejection(*request);
                self.record_final_response(*request);
            }
            Action::Fail { request } => self.record_final_response(*request),
            Action::Cancel { request, attempt } => {
                let sent = self.requests[request].attempts.len();
                assert!(
                    self.settings.cancel,
                    "{request:?}: attempt {attempt} cancelled, which the settings do not allow"
                );
                assert!(
                    (*attempt as usize) < sent,
                    "{request:?}: attempt {attempt} cancelled, but only {sent} were sent"
                );
            }
            Action::SetTimer { after, token } => self.timers.push((self.now + after, *token)),
            Action::PollEndpoints => assert!(
                self.settings.poll_endpoints,
                "polled the endpoint list, which is pushed"
            ),
            Action::CloseIdleConnections(_) | Action::Log(_) => {}
        }
    }

    fn check_send(&mut self, request: RequestId, upstream: UpstreamId, timeout: f64) {
        let endpoint = &self.known_endpoints[&upstream];
        let record = &self.requests[&request];
        let class = &self.settings.classes[record.class];
        self.check_endpoint(request, class, endpoint);
        assert!(
            !record.is_completed,
            "{request:?} sent after its final response or after its client had left"
        );
        assert!(
            self.now < record.deadline,
            "{request:?} sent after its deadline"
        );
        assert!(
            record.attempts.len() < self.settings.max_attempts as usize,
            "{request:?} has more attempts than the settings allow"
        );
        assert!(
            !record.has_attempt_in_flight(),
            "{request:?} has two attempts in flight"
        );
        if let Some(first_run) = self.first_possible_run(record) {
            self.check_retry(request, class, endpoint, first_run);
        }
        assert!(timeout >= 0.0, "{request:?} has a negative timeout");
        let sent_at = self.now;
        let record = self
            .requests
            .get_mut(&request)
            .expect("request should be in the records");
        let times_out_at = if timeout > 0.0 {
            record.deadline.min(sent_at + timeout)
        } else {
            record.deadline
        };
        record.attempts.push(AttemptRecord {
            upstream,
            sent_at,
            times_out_at,
            outcome: None,
        });
    }

    fn check_endpoint(&self, request: RequestId, class: &Class, endpoint: &Endpoint) {
        assert_eq!(
            endpoint.availability,
            Availability::Ready,
            "{request:?} sent to {endpoint:?}, which is not ready"
        );
        assert!(
            !self.suspended.contains(&endpoint.id),
            "{request:?} sent to {endpoint:?}, which is suspended"
        );
        let zones = class.allowed_zones.as_ref();
        assert!(
            zones.is_none_or(|zones| zones.contains(&endpoint.zone)),
            "{request:?} sent to {endpoint:?}, in a zone that its class does not allow"
        );
        let kinds = class.allowed_kinds.as_ref();
        assert!(
            kinds.is_none_or(|kinds| kinds.contains(&endpoint.kind)),
            "{request:?} sent to {endpoint:?}, of a kind that its class does not allow"
        );
    }

    fn check_retry(
        &self,
        request: RequestId,
        class: &Class,
        endpoint: &Endpoint,
        first_run: &AttemptRecord,
    ) {
        match class.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => panic!("{request:?} retried although it may have run"),
            Idempotency::IdempotencyKey { scope, window } => {
                let first = &self.known_endpoints[&first_run.upstream];
                assert!(
                    self.now < first_run.sent_at + window,
                    "{request:?} retried after its idempotency window"
                );
                assert!(
                    match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => first.zone == endpoint.zone,
                        DedupScope::Group => first.group == endpoint.group,
                    },
                    "{request:?} retried at {endpoint:?}, outside the scope {scope:?} of its idempotency key"
                );
            }
        }
    }

    fn check_rejection(&self, request: RequestId) {
        let record = &self.requests[&request];
        let is_safe_to_retry = match self.settings.classes[record.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DedupScope::All,
                ..
            } => true,
            _ => self.first_possible_run(record).is_none(),
        };
        assert!(
            is_safe_to_retry,
            "{request:?} rejected although it may have run"
        );
    }

    fn record_final_response(&mut self, request: RequestId) {
        let record = self
            .requests
            .get_mut(&request)
            .expect("request should be in the records");
        assert!(
            !record.is_completed,
            "{request:?} has a second final response, or one after its client had left"
        );
        record.is_completed = true;
    }

    fn first_possible_run<'a>(&self, record: &'a RequestRecord) -> Option<&'a AttemptRecord> {
        record
            .attempts
            .iter()
            .find(|attempt| !self.proves_never_ran(attempt.outcome))
    }

    fn proves_never_ran(&self, outcome: Option<AttemptOutcome>) -> bool {
        match outcome {
            Some(AttemptOutcome::Rejected) => !self.settings.rejects_after_start,
            Some(AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent) => true,
            _ => false,
        }
    }
}
