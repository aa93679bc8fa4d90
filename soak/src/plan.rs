//! The troubles of a run, drawn from its seed: several kinds, whose times overlap.
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trouble {
    /// A balancer is told to end and started again.
    Restart,
    /// A balancer is killed and started again.
    Kill,
    /// A balancer's configuration moves discovery.
    Reload,
    /// A balancer is held up for a moment, again and again.
    HoldUp,
    /// Upstreams drain, vanish and come back cold.
    Release,
    /// An upstream dies and comes back at once, cold.
    UpstreamCrash,
    /// Upstreams reset, break off, hang or answer nonsense.
    BadUpstreams,
    /// Discovery is down.
    DiscoveryDown,
    /// Discovery's watches fall silent.
    SilentWatches,
    /// Discovery's answers are malformed, in pieces or end.
    SpoiltLists,
    /// Reads and writes of a balancer are short.
    ShortTransfers,
    /// System calls of a balancer are interrupted.
    Interrupted,
    /// `accept`, `connect` and `socket` of a balancer fail.
    FailingSockets,
    /// Connections of a balancer break with unusual errors.
    BrokenReads,
    /// The wall clock of a balancer steps.
    ClockStep,
    /// A balancer starts with a wall clock that is off.
    ClockOff,
    /// Files of a balancer cannot be written or read, while staff give orders.
    Disk,
    /// Staff suspend and restore upstreams.
    Orders,
    /// Clients send several times as much.
    Burst,
    /// Idle clients fill a balancer's descriptors.
    IdleCrowd,
    /// A balancer's process is replaced by another that serves beside it first.
    Upgrade,
}

impl Trouble {
    /// All kinds.
    pub const ALL: [Trouble; 21] = [
        Trouble::Restart,
        Trouble::Kill,
        Trouble::Reload,
        Trouble::HoldUp,
        Trouble::Release,
        Trouble::UpstreamCrash,
        Trouble::BadUpstreams,
        Trouble::DiscoveryDown,
        Trouble::SilentWatches,
        Trouble::SpoiltLists,
        Trouble::ShortTransfers,
        Trouble::Interrupted,
        Trouble::FailingSockets,
        Trouble::BrokenReads,
        Trouble::ClockStep,
        Trouble::ClockOff,
        Trouble::Disk,
        Trouble::Orders,
        Trouble::Burst,
        Trouble::IdleCrowd,
        Trouble::Upgrade,
    ];

    /// The kind with this name, as in [`std::fmt::Debug`], in lower case.
    pub fn named(name: &str) -> Option<Trouble> {
        Trouble::ALL
            .into_iter()
            .find(|kind| format!("{kind:?}").to_lowercase() == name.to_lowercase())
    }
}

/// One trouble of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    /// What happens.
    pub trouble: Trouble,
    /// When it begins.
    pub from: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// Feeds its own choices.
    pub seed: u64,
}

/// Troubles, by the time they begin; `intensity` times as many as usual. With `only`, just these kinds, each that often and
/// once more.
pub fn plan(seed: u64, length: Duration, only: &[Trouble], intensity: usize) -> Vec<Planned> {
    let mut random = StdRng::seed_from_u64(seed);
    let kinds = if only.is_empty() {
        &Trouble::ALL[..]
    } else {
        only
    };
    let count = if only.is_empty() {
        random.random_range(5..10) * intensity
    } else {
        only.len() * (intensity + 1)
    };
    let seconds = length.as_secs_f64();
    let mut planned: Vec<Planned> = (0..count)
        .map(|number| {
            let trouble = if only.is_empty() {
                kinds[random.random_range(0..kinds.len())]
            } else {
                kinds[number % kinds.len()]
            };
            Planned {
                trouble,
                from: Duration::from_secs_f64(seconds * random.random_range(0.05..0.6)),
                lasts: Duration::from_secs_f64(seconds * random.random_range(0.1..0.4)),
                seed: random.random(),
            }
        })
        .collect();
    planned.sort_by_key(|trouble| trouble.from);
    planned
}
