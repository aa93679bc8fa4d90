//! One run: the world of a seed, its clients and troubles, and the verdict.
use crate::balancer::{Balancer, Fleet, FleetSettings, Signal, KILLED_AFTER};
use crate::client::{Client, Crowd, Habit};
use crate::discovery::{Discovery, Mode};
use crate::oracle::{Limits, Oracle, Rule, SlowStart, Tally, Violation};
use crate::plan::{plan, Planned, Trouble};
use crate::trouble;
use crate::upstream::{Behaviour, Upstream};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// How often it is recorded what counts as told.
const SETTLE: Duration = Duration::from_millis(20);
/// Clients have this long to end what they have out.
const CLIENTS_END: Duration = Duration::from_secs(5);
/// Discovery serves all balancers in this time when they come at once.
const QUEUE_OF_ALL: Duration = Duration::from_millis(3500);
/// Requests a second for each balancer, and the stated quota for each.
const RATE: f64 = 30.0;
const QUOTA: f64 = 60.0;
/// Clients of each balancer, by habit.
const HABITS: [(Habit, usize); 9] = [
    (Habit::Steady, 5),
    (Habit::Fresh, 2),
    (Habit::Leaves, 2),
    (Habit::Pipelines, 1),
    (Habit::Slow, 1),
    (Habit::Large, 1),
    (Habit::Stalls, 1),
    (Habit::Babbles, 1),
    (Habit::Silent, 1),
];

/// What a run is like.
#[derive(Clone, Debug)]
pub struct Options {
    /// Draws everything.
    pub seed: u64,
    /// How long troubles and clients go on.
    pub length: Duration,
    /// How balancers learn of the list.
    pub mode: Mode,
    /// Balancers.
    pub balancers: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Only these troubles; all where there are none.
    pub only: Vec<Trouble>,
    /// How many times as many troubles as usual.
    pub intensity: usize,
    /// The program.
    pub program: PathBuf,
    /// The fault library.
    pub library: PathBuf,
    /// A folder for logs.
    pub folder: PathBuf,
}

/// All that takes part in a run.
pub struct World {
    /// Who judges.
    pub oracle: Arc<Oracle>,
    /// The list.
    pub discovery: Arc<Discovery>,
    /// How it is learned of.
    pub discovery_mode: Mode,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// Held while an upstream is in a release.
    pub releases: Vec<Mutex<()>>,
    /// The balancers.
    pub balancers: Vec<Mutex<Balancer>>,
    /// Held while staff give orders at a balancer.
    pub orders: Vec<Mutex<()>>,
    /// The clients of each balancer.
    pub crowds: Vec<Arc<Crowd>>,
    /// Two addresses of discovery for each balancer, and which of them it uses.
    agents: Vec<[SocketAddr; 2]>,
    moved: Vec<AtomicBool>,
    /// Feeds the balancers' faults.
    pub seed: u64,
}

/// What a run showed.
#[derive(Debug)]
pub struct Verdict {
    /// Its troubles.
    pub plan: Vec<Planned>,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// How requests ended.
    pub tally: Tally,
}

impl World {
    /// Where a balancer's agent of discovery is now.
    pub fn agent(&self, number: usize) -> SocketAddr {
        self.agents[number][usize::from(self.moved[number].load(Ordering::Relaxed))]
    }

    /// Starts a balancer's process and waits until it is ready.
    pub async fn start(&self, balancer: &mut Balancer) {
        let number = balancer.number;
        let known = self.discovery.snapshot(number);
        let started = balancer
            .configure(self.agent(number), &known)
            .and_then(|()| balancer.start(self.seed));
        self.discovery.balancer_started(number);
        if let Err(error) = started {
            self.oracle.violated(
                Rule::Crash,
                format!("balancer {number} cannot be started: {error}"),
            );
            return;
        }
        if balancer.ready().await.is_none() {
            let how = balancer.ended().unwrap_or("it runs".to_string());
            self.oracle.violated(
                Rule::NotReady,
                format!("balancer {number} is not ready: {how}"),
            );
        }
        self.crowds[number].refuses.store(false, Ordering::Relaxed);
    }

    /// A balancer's configuration names the other address of discovery from now on.
    pub async fn reload(&self, number: usize) {
        let balancer = self.balancers[number].lock().await;
        self.moved[number].fetch_xor(true, Ordering::Relaxed);
        if balancer.configure(self.agent(number), "null").is_ok() {
            self.discovery.balancer_reloaded(number);
            balancer.signal(Signal::Hangup);
        }
    }
}

/// Plays a run.
pub async fn run(options: Options) -> io::Result<Verdict> {
    let world = Arc::new(build(&options).await?);
    for balancer in &world.balancers {
        world.start(&mut *balancer.lock().await).await;
    }
    let ends = world.crowds[0].ends.clone();
    let settles = tokio::spawn(settle(world.clone()));
    let clients = start_clients(&world, options.seed);
    let planned = plan(
        options.seed,
        options.length,
        &options.only,
        options.intensity,
    );
    let troubles: Vec<_> = planned
        .iter()
        .map(|&planned| {
            let world = world.clone();
            tokio::spawn(async move {
                sleep(planned.from).await;
                trouble::play(world, planned).await;
            })
        })
        .collect();
    sleep(options.length).await;
    for trouble in troubles {
        let _ = trouble.await;
    }
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = timeout(CLIENTS_END, client).await;
    }
    end_balancers(&world).await;
    settles.abort();
    let (violations, tally) = world.oracle.check();
    Ok(Verdict {
        plan: planned,
        violations,
        tally,
    })
}

async fn build(options: &Options) -> io::Result<World> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let fleet = Fleet {
        program: options.program.clone(),
        library: Some(options.library.clone()),
        folder: options.folder.clone(),
        mode: options.mode,
        balancers: options.balancers,
        settings: FleetSettings {
            quota_per_second: QUOTA * options.balancers as f64,
            repeat_window: Duration::from_millis(random.random_range(400..3000)),
            idle_close: Duration::from_millis(random.random_range(1500..8000)),
            drain_grace: Duration::from_millis(300),
            cold_from: 0.13,
            ramp: Duration::from_secs(9),
            tip_multiple: 4.0,
            fall: Duration::from_secs(1),
        },
    };
    let settings = fleet.settings;
    let oracle = Arc::new(Oracle::new(Limits {
        drain_grace: settings.drain_grace,
        repeat_window: settings.repeat_window,
        slow_start: SlowStart {
            capacity_per_second: settings.quota_per_second / options.upstreams as f64,
            cold_from: settings.cold_from,
            ramp: settings.ramp,
            tip_multiple: settings.tip_multiple,
            fall: settings.fall,
        },
    }));
    let mut upstreams = Vec::new();
    for number in 0..options.upstreams {
        let behaviour = Behaviour {
            answer_ms: random.random_range(5.0..60.0),
            ..Behaviour::default()
        };
        upstreams.push(Upstream::start(number, random.random(), behaviour, oracle.clone()).await?);
    }
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|upstream| upstream.address).collect();
    let work = QUEUE_OF_ALL / options.balancers as u32;
    let discovery = Discovery::new(
        options.mode,
        &addresses,
        options.balancers,
        work,
        oracle.clone(),
    );
    let ends = Arc::new(AtomicBool::new(false));
    let (mut balancers, mut crowds, mut agents) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..options.balancers {
        let seed = random.random();
        agents.push([
            discovery.open_agent(number, seed).await?,
            discovery.open_agent(number, !seed).await?,
        ]);
        let balancer = Balancer::new(number, &fleet)?;
        crowds.push(Arc::new(Crowd {
            address: balancer.address,
            balancer: number,
            rate: RATE / HABITS.iter().map(|&(_, count)| count as f64).sum::<f64>(),
            ends: ends.clone(),
            refuses: AtomicBool::new(false),
            burst: AtomicBool::new(false),
            oracle: oracle.clone(),
        }));
        balancers.push(Mutex::new(balancer));
    }
    Ok(World {
        oracle,
        discovery,
        discovery_mode: options.mode,
        releases: upstreams.iter().map(|_| Mutex::default()).collect(),
        upstreams,
        orders: balancers.iter().map(|_| Mutex::default()).collect(),
        moved: balancers.iter().map(|_| AtomicBool::new(false)).collect(),
        balancers,
        crowds,
        agents,
        seed: options.seed,
    })
}

async fn settle(world: Arc<World>) {
    loop {
        world.discovery.settle();
        sleep(SETTLE).await;
    }
}

fn start_clients(world: &Arc<World>, seed: u64) -> Vec<tokio::task::JoinHandle<()>> {
    let mut clients = Vec::new();
    for crowd in &world.crowds {
        for (habit, count) in HABITS {
            for _ in 0..count {
                let client = Client::new(crowd.clone(), habit, clients.len() as u64, seed);
                clients.push(tokio::spawn(client.run()));
            }
        }
    }
    clients
}

/// Looks at what balancers have counted themselves and ends them.
async fn end_balancers(world: &World) {
    for balancer in &world.balancers {
        let mut balancer = balancer.lock().await;
        let number = balancer.number;
        if let Some(how) = balancer.ended() {
            world.oracle.violated(
                Rule::Crash,
                format!("balancer {number} ended by itself: {how}"),
            );
            continue;
        }
        for broken in balancer.violations().await {
            world
                .oracle
                .violated(Rule::OwnCheck, format!("balancer {number}: {broken}"));
        }
        balancer.signal(Signal::Terminate);
    }
    for balancer in &world.balancers {
        let mut balancer = balancer.lock().await;
        balancer.exited(KILLED_AFTER).await;
        balancer.kill().await;
    }
}
