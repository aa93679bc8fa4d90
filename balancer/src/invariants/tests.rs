//! Which attempts, writes and responses the guard allows, denies and counts.
use super::*;
use balancer_core::DedupScope;

fn guard() -> (Guard, Rc<Metrics>) {
    let metrics = Metrics::new(&["read".into()]);
    (Guard::new(metrics.clone()), metrics)
}

fn violations(metrics: &Metrics, rule: Rule) -> u64 {
    metrics
        .guard()
        .violations()
        .find(|(counted, _)| *counted == rule)
        .map_or(0, |(_, count)| count)
}

#[tokio::test]
async fn allows_one_attempt_at_a_time_and_five_in_total() {
    let (guard, metrics) = guard();
    let mut history = AttemptHistory::new(Idempotency::Idempotent);
    for _ in 0..MAX_ATTEMPTS {
        assert_eq!(guard.start_attempt(&mut history, "r"), Ok(()));
        assert_eq!(
            guard.start_attempt(&mut history, "r").err(),
            Some(if history.started() < MAX_ATTEMPTS {
                Rule::ConcurrentAttempt
            } else {
                Rule::AttemptLimit
            })
        );
        history.attempt_ended(Instant::now(), false);
    }
    assert_eq!(
        guard.start_attempt(&mut history, "r"),
        Err(Rule::AttemptLimit)
    );
    assert_eq!(violations(&metrics, Rule::ConcurrentAttempt), 4);
    assert_eq!(violations(&metrics, Rule::AttemptLimit), 2);
}

#[tokio::test]
async fn repeats_request_that_may_have_run_only_if_idempotency_allows_it() {
    let (guard, metrics) = guard();
    let with_key = |window| Idempotency::IdempotencyKey {
        scope: DedupScope::All,
        window,
    };
    for (idempotency, never_ran, allowed) in [
        (Idempotency::Idempotent, false, true),
        (Idempotency::NonIdempotent, true, true),
        (Idempotency::NonIdempotent, false, false),
        (with_key(60_000.0), false, true),
        (with_key(0.0), false, false),
        (with_key(0.0), true, true),
    ] {
        let mut history = AttemptHistory::new(idempotency);
        assert!(guard.start_attempt(&mut history, "r").is_ok());
        history.attempt_ended(Instant::now(), never_ran);
        assert_eq!(
            guard.start_attempt(&mut history, "r").is_ok(),
            allowed,
            "{idempotency:?}, never_ran: {never_ran}"
        );
        assert_eq!(
            guard.check_rejection(&history, "r"),
            idempotency != Idempotency::NonIdempotent || never_ran
        );
    }
    assert_eq!(violations(&metrics, Rule::UnsafeRepeat), 2);
    assert_eq!(violations(&metrics, Rule::RejectedAfterRun), 1);
}

#[test]
fn determines_whether_outcome_proves_that_request_did_not_run() {
    for (outcome, rejects_after_start, never_ran_expected) in [
        (AttemptOutcome::Rejected, false, true),
        (AttemptOutcome::Rejected, true, false),
        (AttemptOutcome::ConnectFailed, true, true),
        (AttemptOutcome::NotSent, true, true),
        (AttemptOutcome::Reset, false, false),
        (AttemptOutcome::Timeout, false, false),
        (AttemptOutcome::Cancelled, false, false),
    ] {
        assert_eq!(
            is_proven_not_run(outcome, rejects_after_start),
            never_ran_expected,
            "{outcome:?}"
        );
    }
}

#[test]
fn counts_denied_write_by_its_first_reason() {
    let (guard, metrics) = guard();
    let allowed = WriteConditions {
        endpoint_closed: false,
        expired: false,
        request_ended: false,
        client_disconnected: false,
    };
    assert_eq!(guard.check_write(allowed), Ok(()));
    assert_eq!(
        guard.check_write(WriteConditions {
            client_disconnected: true,
            ..allowed
        }),
        Err(WriteDenial::ClientDisconnected)
    );
    let closed = WriteConditions {
        endpoint_closed: true,
        client_disconnected: true,
        ..allowed
    };
    assert_eq!(guard.check_write(closed), Err(WriteDenial::EndpointClosed));
    let counts: Vec<u64> = metrics.guard().denials().map(|(_, count)| count).collect();
    assert_eq!(counts, [1, 0, 0, 1]);
}

#[test]
fn response_is_overdue_half_a_second_after_deadline() {
    let (guard, metrics) = guard();
    guard.check_response_time(499.0, "r");
    assert_eq!(violations(&metrics, Rule::ResponseOverdue), 0);
    guard.check_response_time(501.0, "r");
    assert_eq!(violations(&metrics, Rule::ResponseOverdue), 1);
}
