//! Classes of unlike work in one tier: what is usual for one must not be held against another.
mod common;
use balancer_core::*;
use common::*;

const LIGHT: usize = 0;
const HEAVY: usize = 1;

/// A tier in which a light class with a short objective shares upstreams with a heavy one, both of which may be repeated.
fn tier(quota_per_s: f64) -> World {
    let class = |objective, deadline| Class {
        objective,
        deadline,
        ..class(Idempotency::Idempotent)
    };
    let settings = Settings {
        classes: vec![class(300.0, 900.0), class(5000.0, 10_000.0)],
        tenants: tenants(&[1.0], quota_per_s),
        max_attempts: 4,
        cancel: true,
        ..Settings::default()
    };
    World::new(settings, 4, (1..=12).map(member).collect())
}

/// Plays so many milliseconds at `per_s` requests a second, one in fifteen of them heavy. Each attempt of a class is
/// answered after the time that `takes` says, if it says one. Tells how many of each class came and were answered.
fn play(
    w: &mut World,
    span: f64,
    per_s: f64,
    takes: impl Fn(usize, usize) -> Option<f64>,
) -> [(usize, usize); 2] {
    let (mut due, mut tried, mut attempts) = (Vec::new(), std::collections::BTreeMap::new(), 0);
    let (until, first) = (
        w.now + span,
        w.seen.last_key_value().map_or(0, |(id, _)| id.0 + 1),
    );
    let mut next = w.now;
    while w.now < until {
        let id = w.seen.last_key_value().map_or(0, |(id, _)| id.0 + 1);
        w.request(id, if id.is_multiple_of(15) { HEAVY } else { LIGHT }, 0);
        next += 1000.0 / per_s;
        loop {
            // Attempts that have begun since the last look.
            for (&RequestId(id), s) in &w.seen {
                let seen = tried.entry(id).or_insert(0);
                for n in std::mem::replace(seen, s.sends.len())..s.sends.len() {
                    attempts += 1;
                    due.extend(takes(s.class, attempts).map(|took| (s.sends[n].1 + took, id, n)));
                }
            }
            let soonest = due
                .iter()
                .enumerate()
                .min_by(|a, b| a.1 .0.total_cmp(&b.1 .0))
                .map(|(i, _)| i);
            let Some(i) = soonest.filter(|&i| due[i].0 <= next) else {
                break;
            };
            let (at, id, n) = due.swap_remove(i);
            w.pass((at - w.now).max(0.0));
            if w.seen[&RequestId(id)].ended[n].is_none() {
                w.outcome(id, n, AttemptOutcome::Success);
            }
        }
        w.pass((next - w.now).max(0.0));
    }
    [LIGHT, HEAVY].map(|class| {
        // Those that had time enough.
        let all = w.seen.range(RequestId(first)..).map(|(_, s)| s);
        let all = all.filter(|s| {
            s.class == class && s.deadline - w.settings.classes[class].deadline < until - 3000.0
        });
        let (came, served) = all.fold((0, 0), |(came, served), s| {
            (
                came + 1,
                served + usize::from(s.ended.contains(&Some(AttemptOutcome::Success))),
            )
        });
        (came, served)
    })
}

/// One answer in thirty gets lost: what is asked again for that must leave heavy calls the time that they take.
#[test]
fn heavy_calls_are_not_cut_off_at_the_time_that_light_ones_take() {
    let mut w = tier(100.0);
    let takes = |class, attempt: usize| {
        let took = if class == HEAVY { 3000.0 } else { 20.0 };
        (!attempt.is_multiple_of(30)).then_some(took)
    };
    let [light, heavy] = play(&mut w, 20_000.0, 40.0, takes);
    assert!(light.1 * 10 >= light.0 * 9, "light: {light:?}");
    assert!(heavy.1 * 10 >= heavy.0 * 9, "heavy: {heavy:?}");
}

/// And where none is lost, upstreams that work on heavy calls are no crowded ones.
#[test]
fn upstreams_that_work_on_heavy_calls_go_on_taking_light_ones() {
    let mut w = tier(100.0);
    let takes = |class, _| Some(if class == HEAVY { 2500.0 } else { 20.0 });
    let [light, heavy] = play(&mut w, 20_000.0, 60.0, takes);
    assert!(light.1 * 20 >= light.0 * 19, "light: {light:?}");
    assert!(heavy.1 * 20 >= heavy.0 * 19, "heavy: {heavy:?}");
}
