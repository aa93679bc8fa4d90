//! The kinds of fault that a run injects, and their names on the command line and in the report.
use std::fmt;
use std::str::FromStr;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A balancer shuts down gracefully and starts again.
    Restart,
    /// A balancer is killed and starts again.
    Kill,
    /// A balancer's new configuration names another address of discovery.
    Reload,
    /// A balancer's process is repeatedly paused for a moment.
    Stall,
    /// Upstreams drain, are removed and start again in slow start.
    Release,
    /// An upstream crashes and starts again within a second, in slow start.
    UpstreamCrash,
    /// Upstreams reset connections, truncate responses, do not respond or send malformed responses.
    BadUpstreams,
    /// Discovery is down.
    DiscoveryDown,
    /// Discovery sends no more updates to the watches that are open.
    SilentWatches,
    /// Discovery's responses are malformed, split or missing.
    MalformedLists,
    /// Reads and writes of a balancer transfer fewer bytes than it asked for.
    ShortTransfers,
    /// System calls of a balancer are interrupted.
    Interrupted,
    /// `accept`, `connect` and `socket` of a balancer fail.
    FailingSockets,
    /// Reads on a balancer's connections fail with unusual errors.
    BrokenReads,
    /// The wall clock of a balancer repeatedly jumps forward or back.
    ClockStep,
    /// A balancer starts with a wrong wall clock.
    ClockOffset,
    /// A balancer cannot write or read files while operators suspend and restore endpoints.
    Disk,
    /// Operators suspend and restore endpoints.
    Overrides,
    /// Clients send several times their usual rate.
    Burst,
    /// Idle clients use up a balancer's descriptors.
    IdleConnections,
    /// A successor process serves beside a balancer's process for a while, then replaces it.
    Upgrade,
    /// A balancer gets several reloads in a row, and then several signals while it shuts down.
    SignalSeries,
    /// A balancer's calls on its event counter, timers and signal descriptors fail while it reloads and shuts down.
    EventDescriptors,
    /// A balancer's `epoll_ctl` fails to add and to modify descriptors.
    Registrations,
    /// A balancer's writes to its log fail.
    FailingLog,
    /// The first calls that create a balancer's own descriptors fail while it starts.
    FailingStart,
    /// A crowd of clients sends heads of many fields and bodies slowly, and completes none of them.
    SlowClients,
}

impl Fault {
    /// The kinds that a seed draws by position. Their number and order must stay, so that the seeds of known failures draw
    /// the same faults.
    pub const GENERAL: [Fault; 22] = [
        Fault::Restart,
        Fault::Kill,
        Fault::Reload,
        Fault::Stall,
        Fault::Release,
        Fault::UpstreamCrash,
        Fault::BadUpstreams,
        Fault::DiscoveryDown,
        Fault::SilentWatches,
        Fault::MalformedLists,
        Fault::ShortTransfers,
        Fault::Interrupted,
        Fault::FailingSockets,
        Fault::BrokenReads,
        Fault::ClockStep,
        Fault::ClockOffset,
        Fault::Disk,
        Fault::Overrides,
        Fault::Burst,
        Fault::IdleConnections,
        Fault::Upgrade,
        Fault::SignalSeries,
    ];

    /// Faults of the descriptors that a balancer creates for itself, such as epoll, event and timer descriptors and its
    /// log, not those of connections. A seed draws them after the general ones.
    pub const OWN_DESCRIPTORS: [Fault; 4] = [
        Fault::EventDescriptors,
        Fault::Registrations,
        Fault::FailingLog,
        Fault::FailingStart,
    ];

    /// Crowds of clients that hold memory. A seed draws them last.
    pub const CROWDS: [Fault; 1] = [Fault::SlowClients];

    /// All kinds.
    pub fn all() -> impl Iterator<Item = Fault> {
        Fault::GENERAL
            .into_iter()
            .chain(Fault::OWN_DESCRIPTORS)
            .chain(Fault::CROWDS)
    }

    /// The name for `--only`, `--without` and the report. It stays even where it differs from the variant's name, as
    /// existing commands use it.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Restart => "restart",
            Fault::Kill => "kill",
            Fault::Reload => "reload",
            Fault::Stall => "holdup",
            Fault::Release => "release",
            Fault::UpstreamCrash => "upstreamcrash",
            Fault::BadUpstreams => "badupstreams",
            Fault::DiscoveryDown => "discoverydown",
            Fault::SilentWatches => "silentwatches",
            Fault::MalformedLists => "spoiltlists",
            Fault::ShortTransfers => "shorttransfers",
            Fault::Interrupted => "interrupted",
            Fault::FailingSockets => "failingsockets",
            Fault::BrokenReads => "brokenreads",
            Fault::ClockStep => "clockstep",
            Fault::ClockOffset => "clockoff",
            Fault::Disk => "disk",
            Fault::Overrides => "orders",
            Fault::Burst => "burst",
            Fault::IdleConnections => "idlecrowd",
            Fault::Upgrade => "upgrade",
            Fault::SignalSeries => "signalseries",
            Fault::EventDescriptors => "eventdescriptors",
            Fault::Registrations => "registrations",
            Fault::FailingLog => "failinglog",
            Fault::FailingStart => "failingstart",
            Fault::SlowClients => "slowcrowd",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A name that no kind of fault has.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("unknown kind of fault; the known kinds are {}", format_names())]
pub struct UnknownFault;

fn format_names() -> String {
    let names: Vec<&str> = Fault::all().map(Fault::name).collect();
    names.join(", ")
}

impl FromStr for Fault {
    type Err = UnknownFault;

    /// Finds the kind with this name, ignoring case.
    fn from_str(name: &str) -> Result<Fault, UnknownFault> {
        Fault::all()
            .find(|fault| fault.name() == name.to_lowercase())
            .ok_or(UnknownFault)
    }
}
