//! The balancer as a process: starts its parts, connects them and shuts them down.
use crate::admin::claim_store::ClaimStore;
use crate::admin::override_store::OverrideStore;
use crate::admin::override_sync::OverrideSync;
use crate::admin::process_coordinator::{
    ProcessCoordinator, POLLED_LIST_TIMEOUT, PUSHED_LIST_TIMEOUT,
};
use crate::admin::server::{self, AdminOptions, AdminServer};
use crate::admin::shared_claims::SharedClaims;
use crate::clock::{from_millis, Clock};
use crate::control::control_plane::{ControlPlane, ControlPlaneOptions};
use crate::control::driver::DriverHandle;
use crate::discovery::endpoints::EndpointUpdate;
use crate::harmless_panic;
use crate::inbound::response_delivery::ResponseDeliveries;
use crate::inbound::server::{Server, ServerOptions};
use crate::invariants::Guard;
use crate::memory::budget::MemoryBudget;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::net::listener::Listener;
use crate::net::retry_io::retry_io;
use crate::outbound::attempt::Transport;
use crate::outbound::connector::Connector;
use crate::outbound::dispatch::Dispatch;
use crate::phase::Phase;
use crate::process::config::Config;
use crate::process::config_file::load_config;
use crate::process::program_error::ProgramError;
use crate::process::reload::reload_on_signal;
use crate::process::runtime::start_runtime;
use crate::process::shutdown::Shutdown;
use crate::process::shutdown_schedule::ShutdownSchedule;
use crate::process::signals::{SignalStream, Signals};
use crate::telemetry::log::log_line;
use crate::telemetry::log::{init_event_log, LogOutput};
use crate::telemetry::metrics::Metrics;
use balancer_core::{Millis, SettingsError};
use balancer_settings::Deployment;
use std::io;
use std::mem::ManuallyDrop;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// How long failing system calls are retried at start-up: much shorter than the time within which the process has to
/// become ready.
const STARTUP_RETRY_LIMIT: Duration = Duration::from_secs(3);
/// Longest time that is taken from the settings, in milliseconds: one day. Longer ones count as this.
const MAX_SETTING_MS: Millis = 86_400_000.0;

/// Runs the balancer until a signal shuts it down.
pub fn main() -> ExitCode {
    harmless_panic::install_hook();
    let Err(error) = run_on_one_thread() else {
        return ExitCode::SUCCESS;
    };
    log_line!("balancer: {}", error.to_string().replace('\n', " "));
    ExitCode::FAILURE
}

fn run_on_one_thread() -> Result<(), ProgramError> {
    // Before anything else: a signal that arrives while it is not blocked ends the process.
    Signals::block()?;
    // Never dropped: tasks that are dropped together with a runtime wake each other from outside its event loop, and
    // such a wake-up is the write whose failure ends the process (see `process::runtime`). The system closes the
    // descriptors of the tasks when the process ends.
    let runtime =
        ManuallyDrop::new(start_runtime(STARTUP_RETRY_LIMIT).map_err(ProgramError::Runtime)?);
    runtime.block_on(run())
}

/// The state that several parts of the process share.
struct ProcessContext {
    metrics: Rc<Metrics>,
    descriptors: DescriptorBudget,
    memory: MemoryBudget,
    guard: Guard,
    phase: Rc<watch::Sender<Phase>>,
    /// How far the responses to clients are delivered.
    deliveries: Rc<ResponseDeliveries>,
}

impl ProcessContext {
    fn new(config: &Config) -> ProcessContext {
        let metrics = Metrics::new(&config.deployment.classes);
        let admin_descriptors = match config.admin_address {
            Some(_) => server::MAX_DESCRIPTORS,
            None => 0,
        };
        let descriptors =
            DescriptorBudget::new(config.max_descriptors.saturating_sub(admin_descriptors));
        ProcessContext {
            guard: Guard::new(metrics.clone()),
            metrics,
            memory: MemoryBudget::new(config.max_memory_bytes, descriptors.clone()),
            descriptors,
            phase: Rc::new(watch::Sender::new(Phase::Starting)),
            deliveries: Rc::default(),
        }
    }
}

/// A process that serves clients.
struct ServingProcess {
    config: Config,
    context: ProcessContext,
    driver: DriverHandle,
    /// Fires the driver's timers; ends only if it fails.
    timers: JoinHandle<()>,
    /// Serves clients until the last connection has ended.
    server: JoinHandle<()>,
    /// `None` without an admin server.
    coordinator: Option<Rc<ProcessCoordinator>>,
}

async fn run() -> Result<(), ProgramError> {
    let Signals { reload, shutdown } = Signals::open(STARTUP_RETRY_LIMIT).await?;
    // `None` if shutdown was requested before this process listened. No client waits for the process then, so it exits
    // at once.
    let Some(mut process) = ServingProcess::start(reload, &shutdown).await? else {
        return Ok(());
    };
    tokio::select! {
        () = shutdown.received() => {}
        // Without timers no request would end. If the process exits instead, the failure is noticed
        // at once.
        ended = &mut process.timers => return Err(ProgramError::TimersStopped(ended)),
    }
    process.shut_down().await;
    Ok(())
}

impl ServingProcess {
    /// Starts all parts of the process. Each `reload` signal reloads the configuration.
    /// Returns `None` if `shutdown` arrives while the coordinator prepares this process for serving, for example while
    /// this process waits for its first endpoint list because another process of this balancer serves.
    async fn start(
        reload: SignalStream,
        shutdown: &SignalStream,
    ) -> Result<Option<ServingProcess>, ProgramError> {
        let clock = Clock::start();
        let config = load_config(STARTUP_RETRY_LIMIT).await?;
        init_event_log(&config.name);
        let admin_listener = listen_for_admin(config.admin_address).await?;
        let cached_snapshot = valid_snapshot(&config);
        let context = ProcessContext::new(&config);
        let (discovery_address, addresses) = watch::channel(config.discovery_address);
        let ControlPlane {
            driver,
            timers,
            endpoint_watch,
        } = start_control_plane(&config, clock, cached_snapshot, addresses, &context)?;
        let reloads = reload_on_signal(reload, discovery_address, context.metrics.clone());
        tokio::task::spawn_local(reloads);
        tokio::task::spawn_local(context.memory.clone().run());
        tokio::task::spawn_local(endpoint_watch.run(driver.clone()));
        let coordinator = start_admin(&config, admin_listener, &driver, &context)?;
        if let Some(coordinator) = &coordinator {
            tokio::select! {
                () = coordinator.prepare_to_serve() => {}
                () = shutdown.received() => return Ok(None),
            }
        }
        let (server, address) =
            start_server(&config, coordinator.as_deref(), &driver, &context).await?;
        match &coordinator {
            Some(coordinator) => coordinator.serve().await,
            None => drop(context.phase.send_replace(Phase::Serving)),
        }
        log_line!("{}: serving on {address}", config.name);
        Ok(Some(ServingProcess {
            config,
            context,
            driver,
            timers,
            server,
            coordinator,
        }))
    }

    /// Shuts down: keeps serving the connected clients, for as long as the schedule allows.
    async fn shut_down(self) {
        log_line!("{}: shutdown requested", self.config.name);
        let shutdown = Shutdown {
            name: &self.config.name,
            requested_at: Instant::now(),
            schedule: shutdown_schedule(&self.config.deployment),
        };
        self.driver
            .limit_deadlines(shutdown.schedule.fail_pending_after);
        shutdown
            .advance_to_closing(self.coordinator.as_deref(), &self.context.phase)
            .await;
        shutdown
            .wait_for_clients(&self.driver, &self.context.deliveries, self.server)
            .await;
    }
}

/// The cached snapshot of the endpoints. One that is malformed is logged and ignored.
fn valid_snapshot(config: &Config) -> Option<&EndpointUpdate> {
    match &config.cached_snapshot {
        Ok(snapshot) => snapshot.as_ref(),
        Err(error) => {
            let message = error.to_string().replace('\n', " ");
            log_line!("{}: known: {message}: ignored", config.name);
            None
        }
    }
}

fn shutdown_schedule(deployment: &Deployment) -> ShutdownSchedule {
    let longest_deadline = deployment
        .core
        .classes
        .iter()
        .map(|class| class.deadline)
        .fold(0.0, f64::max);
    ShutdownSchedule::of(from_millis(longest_deadline.min(MAX_SETTING_MS)))
}

fn start_control_plane(
    config: &Config,
    clock: Clock,
    cached_snapshot: Option<&EndpointUpdate>,
    discovery_addresses: watch::Receiver<SocketAddr>,
    context: &ProcessContext,
) -> Result<ControlPlane, SettingsError> {
    ControlPlane::start(ControlPlaneOptions {
        deployment: &config.deployment,
        seed: config.seed,
        clock,
        dispatch: Dispatch::Sockets(transport(&config.deployment, context)),
        guard: context.guard.clone(),
        cached_snapshot,
        discovery_addresses,
        log: LogOutput::StandardError,
    })
}

/// The transport that sends attempts over sockets.
fn transport(deployment: &Deployment, context: &ProcessContext) -> Transport {
    let connector = Connector::new(
        deployment.connect_timeout,
        from_millis(deployment.core.idle_close.min(MAX_SETTING_MS)),
        context.descriptors.clone(),
        context.metrics.upstreams().clone(),
    );
    Transport::new(connector, context.guard.clone(), context.memory.clone())
}

/// Listens for operators, if there is an address for them. This happens before anything else is started, so that a
/// wrong address ends the process with one log line.
async fn listen_for_admin(address: Option<SocketAddr>) -> Result<Option<Listener>, ProgramError> {
    let Some(address) = address else {
        return Ok(None);
    };
    match retry_io(STARTUP_RETRY_LIMIT, || Listener::bind(address, false)).await {
        Ok(listener) => Ok(Some(listener)),
        Err(source) => Err(ProgramError::AdminListen { address, source }),
    }
}

/// Starts the admin server, if there is a listener for it.
fn start_admin(
    config: &Config,
    listener: Option<Listener>,
    driver: &DriverHandle,
    context: &ProcessContext,
) -> Result<Option<Rc<ProcessCoordinator>>, ProgramError> {
    let Some(listener) = listener else {
        return Ok(None);
    };
    let address = listener.local_addr().map_err(ProgramError::AdminAddress)?;
    log_line!("{}: admin endpoint listens on {address}", config.name);
    let overrides = OverrideSync::new(
        driver.clone(),
        context.phase.clone(),
        OverrideStore::new(override_directory()),
    );
    let admin = AdminServer::new(AdminOptions {
        driver: driver.clone(),
        metrics: context.metrics.clone(),
        memory: context.memory.clone(),
        phase: context.phase.subscribe(),
        overrides: overrides.clone(),
        slow_start_duration: config.deployment.core.slow_start_duration,
    });
    tokio::task::spawn_local(admin.run(listener));
    let claims = SharedClaims::new(
        ClaimStore::new(override_directory()),
        context.descriptors.clone(),
    );
    let coordinator = ProcessCoordinator::new(
        driver.clone(),
        context.descriptors.clone(),
        context.phase.clone(),
        overrides,
        claims,
        endpoint_list_timeout(&config.deployment),
    );
    Ok(Some(coordinator))
}

fn endpoint_list_timeout(deployment: &Deployment) -> Duration {
    if deployment.core.poll_endpoints {
        POLLED_LIST_TIMEOUT
    } else {
        PUSHED_LIST_TIMEOUT
    }
}

/// The directory that all processes of this balancer share for the overrides; `None` without `TMPDIR`.
fn override_directory() -> Option<PathBuf> {
    std::env::var_os("TMPDIR")
        .filter(|directory| !directory.is_empty())
        .map(PathBuf::from)
}

/// Listens for clients and starts the server. Returns its task and its address.
async fn start_server(
    config: &Config,
    coordinator: Option<&ProcessCoordinator>,
    driver: &DriverHandle,
    context: &ProcessContext,
) -> Result<(JoinHandle<()>, SocketAddr), ProgramError> {
    // Only processes with a coordinator hand over to each other, so only they listen at the same address.
    let shares_address = coordinator.is_some();
    let address = config.listen_address;
    let failed = |source: io::Error| ProgramError::Listen { address, source };
    let listener = retry_io(STARTUP_RETRY_LIMIT, || {
        Listener::bind(address, shares_address)
    })
    .await
    .map_err(failed)?;
    let local_address = listener.local_addr().map_err(failed)?;
    let server = Server::new(ServerOptions {
        driver: driver.clone(),
        deployment: config.deployment.clone(),
        descriptors: context.descriptors.clone(),
        memory: context.memory.clone(),
        claims: coordinator.map(ProcessCoordinator::claims),
        metrics: context.metrics.clone(),
        guard: context.guard.clone(),
        phase: context.phase.subscribe(),
        deliveries: context.deliveries.clone(),
    });
    let task = tokio::task::spawn_local(server.run(listener));
    Ok((task, local_address))
}
