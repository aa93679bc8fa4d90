//! What the guard allows, denies and counts.
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
        .find(|(of, _)| *of == rule)
        .map_or(0, |(_, count)| count)
}

#[tokio::test]
async fn one_attempt_at_a_time_and_five_in_all() {
    let (guard, metrics) = guard();
    let mut history = AttemptHistory::new(Idempotency::Idempotent);
    for _ in 0..ATTEMPTS_MOST {
        assert_eq!(guard.start(&mut history, "r"), Ok(()));
        assert_eq!(
            guard.start(&mut history, "r").err(),
            Some(if history.started() < ATTEMPTS_MOST {
                Rule::ConcurrentAttempt
            } else {
                Rule::AttemptLimit
            })
        );
        history.end(Instant::now(), false);
    }
    assert_eq!(guard.start(&mut history, "r"), Err(Rule::AttemptLimit));
    assert_eq!(violations(&metrics, Rule::ConcurrentAttempt), 4);
    assert_eq!(violations(&metrics, Rule::AttemptLimit), 2);
}

#[tokio::test]
async fn what_may_have_run_is_repeated_only_where_that_is_legal() {
    let (guard, metrics) = guard();
    let guarded = |window| Idempotency::IdempotencyKey {
        scope: DedupScope::All,
        window,
    };
    for (effect, proven, allowed) in [
        (Idempotency::Idempotent, false, true),
        (Idempotency::NonIdempotent, true, true),
        (Idempotency::NonIdempotent, false, false),
        (guarded(60_000.0), false, true),
        (guarded(0.0), false, false),
        (guarded(0.0), true, true),
    ] {
        let mut history = AttemptHistory::new(effect);
        assert!(guard.start(&mut history, "r").is_ok());
        history.end(Instant::now(), proven);
        assert_eq!(
            guard.start(&mut history, "r").is_ok(),
            allowed,
            "{effect:?}, proven: {proven}"
        );
        assert_eq!(
            guard.refuse(&history, "r"),
            effect != Idempotency::NonIdempotent || proven
        );
    }
    assert_eq!(violations(&metrics, Rule::UnsafeRepeat), 2);
    assert_eq!(violations(&metrics, Rule::RefusedAfterRun), 1);
}

#[test]
fn only_a_decline_before_work_proves_that_nothing_ran() {
    for (outcome, rejects_after_start, proof) in [
        (AttemptOutcome::Rejected, false, true),
        (AttemptOutcome::Rejected, true, false),
        (AttemptOutcome::ConnectFailed, true, true),
        (AttemptOutcome::NotSent, true, true),
        (AttemptOutcome::Reset, false, false),
        (AttemptOutcome::Timeout, false, false),
        (AttemptOutcome::Cancelled, false, false),
    ] {
        assert_eq!(
            never_ran(outcome, rejects_after_start),
            proof,
            "{outcome:?}"
        );
    }
}

#[test]
fn a_write_is_denied_for_its_first_reason_and_counted() {
    let (guard, metrics) = guard();
    let open = WriteConditions {
        endpoint_closed: false,
        expired: false,
        request_ended: false,
        client_left: false,
    };
    assert_eq!(guard.write(open), Ok(()));
    assert_eq!(
        guard.write(WriteConditions {
            client_left: true,
            ..open
        }),
        Err(Denial::ClientLeft)
    );
    let closed = WriteConditions {
        endpoint_closed: true,
        client_left: true,
        ..open
    };
    assert_eq!(guard.write(closed), Err(Denial::EndpointClosed));
    let counts: Vec<u64> = metrics.guard().denials().map(|(_, count)| count).collect();
    assert_eq!(counts, [1, 0, 0, 1]);
}

#[test]
fn an_answer_is_overdue_half_a_second_after_its_time() {
    let (guard, metrics) = guard();
    guard.answer(499.0, "r");
    assert_eq!(violations(&metrics, Rule::AnswerOverdue), 0);
    guard.answer(501.0, "r");
    assert_eq!(violations(&metrics, Rule::AnswerOverdue), 1);
}
