//! The balancer as a process: start-up, signals and wiring; see the README.
use crate::admin::overrides::OverrideStore;
use crate::admin::server::{self, AdminServer};
use crate::control::clock::{from_millis, Clock};
use crate::control::driver::DriverHandle;
use crate::control::invariants::Guard;
use crate::control::startup::{Control, ControlOptions};
use crate::inbound::server::{Phase, Server};
use crate::net::descriptor_budget::DescriptorBudget;
use crate::net::retry_io::retry_io;
use crate::outbound::attempt::Transport;
use crate::outbound::connector::Connector;
use crate::outbound::dispatch::Dispatch;
use crate::process::config::Config;
use crate::telemetry::log::{start_events, Log};
use crate::telemetry::metrics::Metrics;
use balancer_core::Millis;
use balancer_settings::Deployment;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// What the system fails at the start is tried again for this long, well within the time to get ready; and to read a new
/// configuration, well within the time after which what it leads to counts as told.
const START_RETRY: Duration = Duration::from_secs(3);
const RELOAD_RETRY: Duration = Duration::from_millis(1500);
/// New connections go on coming for this long after SIGTERM, with some room.
const STILL_ACCEPTING: Duration = Duration::from_millis(500);
/// SIGKILL comes this long after the longest deadline has passed since SIGTERM, at the soonest; a deadline longer than
/// [`DEADLINE_MOST`] counts as that.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// The last answers get this long to reach their callers before that, and the program ends so long before it.
const ANSWERS_REACH: Duration = Duration::from_millis(200);
const ENDS_BEFORE: Duration = Duration::from_millis(50);
/// How often it is looked at whether anything is still being passed on.
const LOOK: Duration = Duration::from_millis(100);
/// Times in the settings that are longer than a day, in milliseconds, count as a day.
const LONGEST_SETTING: Millis = 86_400_000.0;
/// Whoever does not kill it by then gets no more of them.
const LAST_PASSED_ON: Duration = Duration::from_secs(30);

/// When the stages of the end come, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ShutdownSchedule {
    /// Until then kept connections are served on. Guards against callers that find no other balancer: closed sooner,
    /// they would have to connect to one that may be starting again itself.
    serving: Duration,
    /// What is open by then is answered, and what is taken after SIGTERM is due by then.
    answered: Duration,
    /// The program ends, but for answers that are being passed on: those it would cut off itself.
    last: Duration,
}

impl ShutdownSchedule {
    /// Where the longest deadline of all classes is this.
    fn of(longest: Duration) -> ShutdownSchedule {
        let killed = longest.min(DEADLINE_MOST) + KILLED_AFTER;
        let answered = killed - ANSWERS_REACH;
        // The last third is left to what was taken before it, so that little has to be failed in the end.
        ShutdownSchedule {
            serving: (answered * 2 / 3).max(STILL_ACCEPTING),
            answered,
            last: killed - ENDS_BEFORE,
        }
    }
}

/// Reads the configuration. The system may fail to for a moment, which is waited for.
async fn load(limit: Duration) -> Result<Config, String> {
    let path = std::env::var("NODE_CONFIG").map_err(|e| format!("NODE_CONFIG: {e}"))?;
    let text = retry_io(limit, || std::fs::read(&path)).await;
    let text = text.map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
    let mut config = Config::parse(&text)?;
    if let (None, Some(ops)) = (
        config.ops,
        std::env::var("NODE_OPS").ok().filter(|ops| !ops.is_empty()),
    ) {
        config.ops = Some(ops.parse().map_err(|e| format!("NODE_OPS: {ops:?}: {e}"))?);
    }
    Ok(config)
}

/// Runs the balancer until it is told to end.
pub fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let done = runtime
        .map_err(|e| e.to_string())
        .and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, run()));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("balancer: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

/// Follows the configuration: at each signal its file is read again. Only where discovery is can change while
/// the program runs; a file that cannot be read changes nothing.
async fn follow(mut hup: Signal, discovery: watch::Sender<SocketAddr>, metrics: Rc<Metrics>) {
    while hup.recv().await.is_some() {
        let loaded = load(RELOAD_RETRY).await;
        metrics.record_reload(loaded.is_ok());
        match loaded {
            Ok(config) => {
                discovery.send_if_modified(|now| {
                    std::mem::replace(now, config.discovery) != config.discovery
                });
            }
            Err(message) => eprintln!("balancer: not reloaded: {}", message.replace('\n', " ")),
        }
    }
}

/// A listener for callers. Where there is an operators' admin, another process of this balancer may listen there too.
fn listen_at(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The signals that the program catches.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn catch() -> Result<Signals, String> {
        let catch = |kind| signal(kind).map_err(|e| e.to_string());
        Ok(Signals {
            hangup: catch(SignalKind::hangup())?,
            terminate: catch(SignalKind::terminate())?,
            interrupt: catch(SignalKind::interrupt())?,
        })
    }
}

/// The sockets' side of attempts.
fn transport(
    deployment: &Deployment,
    budget: &DescriptorBudget,
    metrics: &Metrics,
    guard: &Guard,
) -> Transport {
    let connector = Connector::new(
        deployment.connect_timeout,
        from_millis(deployment.policy.idle_close.min(LONGEST_SETTING)),
        budget.clone(),
        metrics.attempts(),
    );
    Transport::new(connector, guard.clone())
}

/// A listener for operators, if there is to be one. Opened before anything else is started, so that a wrong address ends the
/// program with one line.
async fn listen_for_operators(ops: Option<SocketAddr>) -> Result<Option<TcpListener>, String> {
    let Some(ops) = ops else { return Ok(None) };
    let listener = retry_io(START_RETRY, || listen_at(ops, false)).await;
    listener.map(Some).map_err(|e| format!("ops: {ops}: {e}"))
}

/// Opens the operators' admin, if there is one.
async fn open_admin_endpoint(
    name: &str,
    listener: Option<TcpListener>,
    make: impl FnOnce(OverrideStore) -> Rc<AdminServer>,
) -> Result<Option<Rc<AdminServer>>, String> {
    let Some(listener) = listener else {
        return Ok(None);
    };
    let address = listener.local_addr().map_err(|e| format!("ops: {e}"))?;
    eprintln!("{name}: operators call at {address}");
    let folder = std::env::var_os("TMPDIR")
        .filter(|folder| !folder.is_empty())
        .map(PathBuf::from);
    let admin = make(OverrideStore::new(folder));
    tokio::task::spawn_local(admin.clone().run(listener));
    admin.prepare().await;
    Ok(Some(admin))
}

async fn run() -> Result<(), String> {
    // Before anything else: a signal that is not caught ends the program.
    let Signals {
        hangup,
        mut terminate,
        mut interrupt,
    } = Signals::catch()?;
    let clock = Clock::start();
    let config = load(START_RETRY).await?;
    start_events(&config.name);
    let Config {
        name,
        listen,
        discovery,
        ops,
        seed,
        sockets,
        known,
        deployment,
    } = config;
    let operators = listen_for_operators(ops).await?;
    let known = known.unwrap_or_else(|e| {
        eprintln!("{name}: known: {}: passed over", e.replace('\n', " "));
        None
    });
    let longest = deployment
        .policy
        .classes
        .iter()
        .map(|c| c.deadline)
        .fold(0.0, f64::max);
    let schedule = ShutdownSchedule::of(from_millis(longest.min(LONGEST_SETTING)));
    let metrics = Metrics::new(&deployment.classes);
    let budget = DescriptorBudget::new(sockets.saturating_sub(if ops.is_some() {
        server::DESCRIPTORS
    } else {
        0
    }));
    let guard = Guard::new(metrics.clone());
    let (address_of_discovery, addresses) = watch::channel(discovery);
    let Control {
        handle,
        timers,
        discovery,
    } = Control::start(ControlOptions {
        deployment: &deployment,
        seed,
        clock,
        dispatch: Dispatch::Sockets(transport(&deployment, &budget, &metrics, &guard)),
        guard: guard.clone(),
        known: known.as_ref(),
        discovery: addresses,
        log: Log::StandardError,
    })?;
    tokio::task::spawn_local(follow(hangup, address_of_discovery, metrics.clone()));
    tokio::task::spawn_local(discovery.run(handle.clone()));
    let (phase, phases) = watch::channel(Phase::Starting);
    let phase = Rc::new(phase);
    let make_door = |store| {
        let slow_start_duration = deployment.policy.slow_start_duration;
        AdminServer::new(
            handle.clone(),
            metrics.clone(),
            budget.clone(),
            phase.clone(),
            store,
            slow_start_duration,
        )
    };
    let admin = open_admin_endpoint(&name, operators, make_door).await?;
    let failed = |e: io::Error| format!("listen: {listen}: {e}");
    let listener = retry_io(START_RETRY, || listen_at(listen, admin.is_some()))
        .await
        .map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let server = Server::new(handle.clone(), deployment, budget, metrics, guard, phases);
    let served = tokio::task::spawn_local(server.run(listener));
    match &admin {
        Some(admin) => admin.serve().await,
        None => drop(phase.send_replace(Phase::Serving)),
    }
    eprintln!("{name}: serving on {address}");

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        // Without timers no request would end: better to stop at once, seen by all.
        end = timers => return Err(format!("the timers stopped: {end:?}")),
    }
    eprintln!("{name}: told to end");
    let told = Instant::now();
    handle.set_response_deadline(schedule.answered);
    close_phases(told, schedule, admin.as_deref(), &phase).await;
    finish(&name, told, schedule, handle, served).await;
    Ok(())
}

/// Takes the program through the phases of its end, until connections are closed.
async fn close_phases(
    told: Instant,
    schedule: ShutdownSchedule,
    admin: Option<&AdminServer>,
    phase: &watch::Sender<Phase>,
) {
    let succeeded = match admin {
        Some(admin) => admin.succeeded().await,
        None => false,
    };
    if succeeded {
        // Staff that sent clients away mean this process too.
        let paused = *phase.borrow() == Phase::Paused;
        phase.send_replace(if paused {
            Phase::Closing
        } else {
            Phase::HandedOff
        });
        return;
    }
    for (after, next) in [
        (Duration::ZERO, Phase::ShutdownRequested),
        (STILL_ACCEPTING, Phase::Draining),
        (schedule.serving, Phase::Closing),
    ] {
        tokio::time::sleep_until(told + after).await;
        phase.send_replace(next);
    }
}

/// Waits until all callers are served, for as long as the end allows.
async fn finish(
    name: &str,
    told: Instant,
    schedule: ShutdownSchedule,
    handle: DriverHandle,
    served: JoinHandle<()>,
) {
    let open = handle.clone();
    let served = async move {
        tokio::pin!(served);
        tokio::select! {
            done = &mut served => return done,
            () = tokio::time::sleep_until(told + schedule.answered) => handle.fail_pending(),
        }
        served.await
    };
    tokio::pin!(served);
    let mut until = told + schedule.last;
    while tokio::time::timeout_at(until, &mut served).await.is_err() {
        if open.active_requests() == 0 || until >= told + LAST_PASSED_ON {
            eprintln!(
                "{name}: callers are still connected at the end, {} answers cut off",
                open.active_requests()
            );
            break;
        }
        if until == told + schedule.last {
            eprintln!(
                "{name}: {} answers are still being passed on",
                open.active_requests()
            );
        }
        until += LOOK;
    }
}

#[cfg(test)]
mod tests;
