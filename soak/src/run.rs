//! Carries out one run: builds the testbed, starts clients, injects the planned faults and checks what was observed.
use crate::checker::Checker;
use crate::client::{Client, ClientKind};
use crate::injector::FaultInjector;
use crate::observations::OutcomeCounts;
use crate::options::RunOptions;
use crate::plan::{draw_faults, PlannedFault};
use crate::rules::Violation;
use crate::testbed::{SetupError, Testbed};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Interval at which the run records the notifications that are overdue.
const NOTIFICATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the run waits, at its end, for each client to finish its requests.
const CLIENT_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// Clients of each balancer by kind.
const CLIENTS: [(ClientKind, usize); 9] = [
    (ClientKind::KeepAlive, 5),
    (ClientKind::ConnectionPerRequest, 2),
    (ClientKind::Disconnecting, 2),
    (ClientKind::Pipelining, 1),
    (ClientKind::SlowWriter, 1),
    (ClientKind::LargeBodies, 1),
    (ClientKind::PartialRequest, 1),
    (ClientKind::RandomBytes, 1),
    (ClientKind::Silent, 1),
];

/// The result of a run.
#[derive(Debug)]
pub struct RunResult {
    /// The faults that were injected.
    pub faults: Vec<PlannedFault>,
    /// The violations, ordered by time.
    pub violations: Vec<Violation>,
    /// Number of requests by how they ended.
    pub outcomes: OutcomeCounts,
}

/// Carries out a run.
pub async fn run(options: RunOptions) -> Result<RunResult, SetupError> {
    let clients_per_balancer = CLIENTS.iter().map(|&(_, count)| count).sum();
    let testbed = Arc::new(Testbed::build(&options, clients_per_balancer).await?);
    testbed.start_balancers().await;
    let notification_task = tokio::spawn(record_notifications(testbed.clone()));
    let clients = start_clients(&testbed, options.seed);
    let mut faults = draw_faults(
        options.seed,
        options.length,
        &options.only,
        options.intensity,
    );
    faults.retain(|planned| !options.without.contains(&planned.fault));
    let injections = start_injections(&testbed, &faults);
    sleep(options.length).await;
    for injection in injections {
        let _ = injection.await;
    }
    testbed.stop_clients();
    for client in clients {
        let _ = timeout(CLIENT_SHUTDOWN_TIMEOUT, client).await;
    }
    testbed.shut_down_balancers().await;
    notification_task.abort();
    let observations = testbed.recorder().lock();
    Ok(RunResult {
        faults,
        violations: Checker::new(testbed.limits(), &observations).check(),
        outcomes: observations.count_outcomes(),
    })
}

async fn record_notifications(testbed: Arc<Testbed>) {
    loop {
        testbed.discovery().record_overdue_notifications();
        sleep(NOTIFICATION_CHECK_INTERVAL).await;
    }
}

fn start_clients(testbed: &Testbed, seed: u64) -> Vec<JoinHandle<()>> {
    let mut clients = Vec::new();
    for balancer in testbed.balancer_ids() {
        for (kind, count) in CLIENTS {
            for _ in 0..count {
                let group = testbed.clients(balancer).clone();
                let client = Client::new(group, kind, clients.len() as u64, seed);
                clients.push(tokio::spawn(client.run()));
            }
        }
    }
    clients
}

/// Starts a task for each fault, which waits until the fault starts.
fn start_injections(testbed: &Arc<Testbed>, faults: &[PlannedFault]) -> Vec<JoinHandle<()>> {
    let mut injections = Vec::new();
    for &planned in faults {
        let injector = FaultInjector::new(testbed.clone(), planned);
        injections.push(tokio::spawn(async move {
            sleep(planned.start_offset).await;
            injector.inject(planned.fault).await;
        }));
    }
    injections
}
