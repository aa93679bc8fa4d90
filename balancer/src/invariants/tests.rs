//! What the guard allows, denies and counts.
use super::*;
use balancer_core::DedupScope;

fn guard() -> (Guard, Rc<Figures>) {
    let figures = Figures::new(&["read".into()]);
    (Guard::new(figures.clone()), figures)
}

fn violations(figures: &Figures, rule: Rule) -> u64 {
    figures
        .guard()
        .violations()
        .find(|(of, _)| *of == rule)
        .map_or(0, |(_, count)| count)
}

#[tokio::test]
async fn one_attempt_at_a_time_and_five_in_all() {
    let (guard, figures) = guard();
    let mut history = AttemptHistory::new(Effect::Free);
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
    assert_eq!(violations(&figures, Rule::ConcurrentAttempt), 4);
    assert_eq!(violations(&figures, Rule::AttemptLimit), 2);
}

#[tokio::test]
async fn what_may_have_run_is_repeated_only_where_that_is_legal() {
    let (guard, figures) = guard();
    let guarded = |window| Effect::Guarded {
        scope: DedupScope::All,
        window,
    };
    for (effect, proven, allowed) in [
        (Effect::Free, false, true),
        (Effect::SingleShot, true, true),
        (Effect::SingleShot, false, false),
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
            effect != Effect::SingleShot || proven
        );
    }
    assert_eq!(violations(&figures, Rule::UnsafeRepeat), 2);
    assert_eq!(violations(&figures, Rule::RefusedAfterRun), 1);
}

#[test]
fn only_a_decline_before_work_proves_that_nothing_ran() {
    for (ending, late_shedding, proof) in [
        (Ending::Full, false, true),
        (Ending::Full, true, false),
        (Ending::ConnectFailed, true, true),
        (Ending::Moot, true, true),
        (Ending::Reset, false, false),
        (Ending::Timeout, false, false),
        (Ending::Cancelled, false, false),
    ] {
        assert_eq!(never_ran(ending, late_shedding), proof, "{ending:?}");
    }
}

#[test]
fn a_write_is_denied_for_its_first_reason_and_counted() {
    let (guard, figures) = guard();
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
    let counts: Vec<u64> = figures.guard().denials().map(|(_, count)| count).collect();
    assert_eq!(counts, [1, 0, 0, 1]);
}

#[test]
fn an_answer_is_overdue_half_a_second_after_its_time() {
    let (guard, figures) = guard();
    guard.answer(499.0, "r");
    assert_eq!(violations(&figures, Rule::AnswerOverdue), 0);
    guard.answer(501.0, "r");
    assert_eq!(violations(&figures, Rule::AnswerOverdue), 1);
}
