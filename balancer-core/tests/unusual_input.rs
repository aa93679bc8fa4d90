//! Invalid or unusual settings, and unusual events.
mod common;

use balancer_core::{
    Action, AttemptOutcome, Balancer, Endpoint, EndpointEvent, Event, Idempotency, Request,
    RequestId, Settings,
};
use common::{
    endpoint, success_after, tenantless_settings_that_value_late_responses, tenants, TestHarness,
};

/// The field that the error names if a change makes settings invalid.
fn invalid_field(change: impl Fn(&mut Settings)) -> Option<&'static str> {
    let mut settings = Settings {
        tenants: tenants(&[1.0], 10.0),
        ..Settings::default()
    };
    change(&mut settings);
    let balancer = Balancer::new(settings, 1, 0.0);
    balancer.err().map(|error| error.field)
}

#[test]
fn invalid_settings_name_their_field() {
    assert_eq!(invalid_field(|_| {}), None);
    assert_eq!(invalid_field(|s| s.replica_count = 0), Some("balancers"));
    assert_eq!(invalid_field(|s| s.classes.clear()), Some("classes"));
    assert_eq!(
        invalid_field(|s| s.classes[0].objective = f64::NAN),
        Some("classes.objective")
    );
    assert_eq!(
        invalid_field(|s| s.classes[0].deadline = -1.0),
        Some("classes.deadline")
    );
    assert_eq!(
        invalid_field(|s| s.classes[0].allowed_zones = Some(Vec::new())),
        Some("classes.allowed_zones")
    );
    assert_eq!(
        invalid_field(|s| s.classes[0].allowed_kinds = Some(Vec::new())),
        Some("classes.allowed_kinds")
    );
    assert_eq!(
        invalid_field(|s| s.tenants[0].quota_per_second = 1e300),
        Some("tenants.quota_per_s")
    );
    assert_eq!(
        invalid_field(|s| s.slow_start_duration = f64::INFINITY),
        Some("slow_start_duration")
    );
    assert_eq!(
        invalid_field(|s| s.poll_acknowledge_timeout = 0.0),
        Some("poll_acknowledge_timeout")
    );
}

/// A change of the settings, with its description.
type SettingsChange = (&'static str, fn(&mut Settings));

const UNUSUAL_SETTINGS: [SettingsChange; 12] = [
    ("no tenants", |s| s.tenants.clear()),
    ("tenants without a weight or a quota", |s| {
        s.tenants = tenants(&[0.0, 0.0], 0.0);
    }),
    ("an objective above the deadline", |s| {
        s.classes[0].objective = 60_000.0;
    }),
    ("an objective of almost zero", |s| {
        s.classes[0].objective = 0.001;
    }),
    ("late responses with full value", |s| {
        s.classes[0].late_weight = 1.0;
    }),
    ("an index above the number of replicas", |s| {
        s.replica_index = 700;
        s.replica_count = 3;
    }),
    ("a zone without endpoints", |s| {
        s.zone = 9;
        s.cross_zone_price = 1.0;
    }),
    ("no slow start and no overload window", |s| {
        s.slow_start_initial_fraction = 1.0;
        s.slow_start_duration = 0.0;
        s.slow_start_overload_window = 0.0;
    }),
    ("an endless slow start", |s| {
        s.slow_start_initial_fraction = 0.0;
        s.slow_start_duration = 1e15;
        s.slow_start_overload_window = 1e15;
    }),
    ("one attempt", |s| s.max_attempts = 1),
    ("connections closed once idle", |s| s.idle_close = 0.0),
    ("a lower tier", |s| s.tier = 7),
];

/// Requests are served according to the rules, however unusual the settings are.
#[test]
fn unusual_settings_are_served() {
    for (description, change) in UNUSUAL_SETTINGS {
        let mut settings = Settings {
            tenants: tenants(&[0.7, 0.3], 90.0),
            ..tenantless_settings_that_value_late_responses(Idempotency::Idempotent)
        };
        settings.cross_zone_price = 0.01;
        change(&mut settings);
        let list = (1..=9)
            .map(|id| Endpoint {
                zone: (id % 3) as u16,
                ..endpoint(id)
            })
            .collect();
        let mut harness = TestHarness::new(settings, 5, list);
        harness.run_traffic(5000.0, 40.0, &[0, 1, 5], &success_after(20.0));
        let sent = harness.sent_since(0.0).requests;
        assert!(sent > 150, "{description}: {sent} of 200 sent");
    }
}

#[test]
fn unknown_classes_tenants_requests_and_timers_are_tolerated() {
    let mut harness = TestHarness::new(Settings::default(), 1, vec![endpoint(1)]);
    let unknown_class = Request {
        id: RequestId(9),
        class: 7,
        tenant: 7,
        deadline: 900.0,
    };
    let mut actions = Vec::new();
    harness
        .balancer
        .handle(0.0, Event::Request(unknown_class), &mut actions);
    assert!(
        matches!(actions[..], [Action::Reject { .. }]),
        "a request of an unknown class should be rejected, because it never ran"
    );
    assert!(harness
        .handle(Event::ClientDisconnected(RequestId(77)))
        .is_empty());
    assert!(harness.handle(Event::Timer(12345)).is_empty());
    assert!(harness
        .handle(Event::ResponseStarted {
            request: RequestId(77),
            attempt: 3
        })
        .is_empty());
    assert!(
        matches!(harness.send_request(1, 0, 999)[..], [Action::Send { .. }]),
        "a request of an unlisted tenant should be sent"
    );
}

/// Events that carry times, all set to `value`, and a timer.
fn events_with_time(step: usize, value: f64) -> [Event; 5] {
    let list = (1..5)
        .map(|id| Endpoint {
            started_at: value,
            ..endpoint(id)
        })
        .collect();
    let request = Request {
        id: RequestId(step as u32),
        class: 0,
        tenant: step % 3,
        deadline: value,
    };
    let ended = Event::AttemptEnded {
        request: request.id,
        attempt: step as u32 % 2,
        outcome: if step.is_multiple_of(3) {
            AttemptOutcome::Timeout
        } else {
            AttemptOutcome::Success
        },
        duration: value,
        request_completed: step.is_multiple_of(2),
    };
    [
        Event::Endpoints(EndpointEvent::Snapshot(list)),
        Event::Request(request),
        ended.clone(),
        ended,
        Event::Timer(0),
    ]
}

/// The balancer must not panic, whatever the host passes.
#[test]
fn unusual_time_values_are_tolerated() {
    let numbers = [
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        -5.0,
        0.0,
        1e300,
        40.0,
    ];
    let settings = tenantless_settings_that_value_late_responses(Idempotency::Idempotent);
    let mut balancer = Balancer::new(settings, 3, 0.0).expect("settings should be valid");
    let mut actions = Vec::new();
    for (step, &now) in numbers.iter().cycle().take(500).enumerate() {
        for event in events_with_time(step, numbers[step / 7 % 7]) {
            balancer.handle(now, event, &mut actions);
        }
    }
    let timeouts: Vec<f64> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
        .collect();
    assert!(
        !timeouts.is_empty() && !timeouts.iter().any(|timeout| timeout.is_nan()),
        "no attempt was sent, or a timeout is not a number: {timeouts:?}"
    );
}
