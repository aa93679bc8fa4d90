//! Makes the troubles of a plan happen.
use crate::balancer::{Signal, KILLED_AFTER};
use crate::discovery::{upstream_name, AnswerFaults, Condition, Mode};
use crate::oracle::{Listed, Rule};
use crate::plan::{Planned, Trouble};
use crate::run::World;
use crate::upstream::Behaviour;
use fault_injection::control::{Fault, CERTAIN};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// New connections come for this long after SIGTERM.
const STILL_COMING: Duration = Duration::from_millis(350);
/// A process is held up for this long at a time.
const HELD_UP: Duration = Duration::from_millis(140);
/// An idle client comes so often: hundreds in a few seconds.
const CROWD_PAUSE: Duration = Duration::from_millis(5);
const HOUR_MS: i64 = 3_600_000;
/// Suspensions are recorded beside what lists say, under upstream numbers from here.
pub const SUSPENSIONS: usize = 1 << 20;

/// A share in millionths.
fn millionths(share: f64) -> i64 {
    (share * CERTAIN as f64) as i64
}

/// Plays one trouble, from its beginning to its end.
pub async fn play(world: Arc<World>, planned: Planned) {
    let random = StdRng::seed_from_u64(planned.seed);
    let mut scene = Scene {
        world,
        lasts: planned.lasts,
        random,
    };
    match planned.trouble {
        Trouble::Restart => scene.restart().await,
        Trouble::Kill => scene.kill().await,
        Trouble::Reload => scene.reload().await,
        Trouble::HoldUp => scene.hold_up().await,
        Trouble::Release => scene.release().await,
        Trouble::UpstreamCrash => scene.crash().await,
        Trouble::BadUpstreams => scene.bad_upstreams().await,
        Trouble::DiscoveryDown => scene.discovery_down().await,
        Trouble::SilentWatches => scene.world.discovery.silence_watches(),
        Trouble::SpoiltLists => scene.spoilt_lists().await,
        Trouble::ShortTransfers => {
            scene
                .faults(&[Fault::ShortRead, Fault::ShortWrite], 0.02)
                .await
        }
        Trouble::Interrupted => {
            let calls = [
                Fault::InterruptedRead,
                Fault::InterruptedWrite,
                Fault::InterruptedWait,
            ];
            scene.faults(&calls, 0.02).await;
        }
        Trouble::FailingSockets => {
            scene
                .faults(&[Fault::Accept, Fault::Connect, Fault::Socket], 0.05)
                .await
        }
        Trouble::BrokenReads => scene.faults(&[Fault::BrokenRead], 0.005).await,
        Trouble::ClockStep => scene.clock_step().await,
        Trouble::ClockOff => scene.clock_off().await,
        Trouble::Disk => scene.disk().await,
        Trouble::Orders => scene.orders().await,
        Trouble::Burst => scene.burst().await,
        Trouble::IdleCrowd => scene.idle_crowd().await,
        Trouble::Upgrade => scene.upgrade().await,
    }
}

struct Scene {
    world: Arc<World>,
    lasts: Duration,
    random: StdRng,
}

impl Scene {
    fn any_balancer(&mut self) -> usize {
        self.random.random_range(0..self.world.balancers.len())
    }

    fn any_upstream(&mut self) -> usize {
        self.random.random_range(0..self.world.upstreams.len())
    }

    fn some_balancers(&mut self) -> Vec<usize> {
        let count = self
            .random
            .random_range(1..=self.world.balancers.len().div_ceil(2));
        (0..count).map(|_| self.any_balancer()).collect()
    }

    async fn restart(&mut self) {
        let until = Instant::now() + self.lasts;
        while Instant::now() < until {
            let number = self.any_balancer();
            self.world.clone().restart(number).await;
        }
    }

    async fn kill(&mut self) {
        for number in self.some_balancers() {
            self.world.clone().kill(number, || ()).await;
        }
    }

    async fn burst(&mut self) {
        let chosen = self.some_balancers();
        let set = |burst| {
            for &number in &chosen {
                self.world.crowds[number]
                    .burst
                    .store(burst, Ordering::Relaxed);
            }
        };
        set(true);
        sleep(self.lasts).await;
        set(false);
    }

    async fn idle_crowd(&mut self) {
        let number = self.any_balancer();
        let began = Instant::now();
        let address = self.world.crowds[number].address;
        let mut idle = Vec::new();
        while began.elapsed() < self.lasts {
            if let Ok(stream) = TcpStream::connect(address).await {
                idle.push(stream);
            }
            sleep(CROWD_PAUSE).await;
        }
        drop(idle);
        self.world.oracle.was_crowded(number, began);
    }

    async fn upgrade(&mut self) {
        let until = Instant::now() + self.lasts;
        while Instant::now() < until {
            let number = self.any_balancer();
            self.world.upgrade(number).await;
        }
    }

    async fn reload(&mut self) {
        for number in self.some_balancers() {
            self.world.reload(number).await;
            sleep(Duration::from_millis(self.random.random_range(0..400))).await;
        }
    }

    async fn hold_up(&mut self) {
        let until = Instant::now() + self.lasts;
        let number = self.any_balancer();
        while Instant::now() < until {
            {
                let balancer = self.world.balancers[number].lock().await;
                balancer.signal(Signal::Stop);
                sleep(HELD_UP).await;
                balancer.signal(Signal::Continue);
            }
            sleep(Duration::from_millis(self.random.random_range(200..900))).await;
        }
    }

    /// One upstream after another drains, goes and comes back cold. Some go on answering while they drain.
    async fn release(&mut self) {
        let until = Instant::now() + self.lasts;
        while Instant::now() < until {
            let number = self.any_upstream();
            let world = self.world.clone();
            let Ok(_only) = world.releases[number].try_lock() else {
                continue;
            };
            world.discovery.change(number, "leaving", None);
            world.upstreams[number].drain(self.random.random::<f64>() < 0.5);
            sleep(Duration::from_millis(self.random.random_range(500..9000))).await;
            world.discovery.change(number, "left", None);
            world.upstreams[number].stop();
            sleep(Duration::from_millis(self.random.random_range(100..1500))).await;
            self.come_back(number).await;
        }
    }

    /// An upstream dies without notice and comes back cold at once.
    async fn crash(&mut self) {
        let number = self.any_upstream();
        let world = self.world.clone();
        let Ok(_only) = world.releases[number].try_lock() else {
            return;
        };
        world.upstreams[number].stop();
        sleep(Duration::from_millis(self.random.random_range(50..800))).await;
        self.come_back(number).await;
    }

    async fn come_back(&self, number: usize) {
        if let Err(error) = self.world.upstreams[number].restart().await {
            eprintln!("upstream {number} does not come back: {error}");
            return;
        }
        self.world.oracle.upstream_started(number);
        self.world
            .discovery
            .change(number, "active", Some(unix_ms()));
    }

    async fn bad_upstreams(&mut self) {
        let count = self
            .random
            .random_range(1..=self.world.upstreams.len().div_ceil(2));
        let chosen: Vec<usize> = (0..count).map(|_| self.any_upstream()).collect();
        let before: Vec<Behaviour> = chosen
            .iter()
            .map(|&n| self.world.upstreams[n].behaviour())
            .collect();
        for &number in &chosen {
            let mut likely = |most: f64| self.random.random_range(0.0..most);
            self.world.upstreams[number].behave(Behaviour {
                answer_ms: 5.0 + likely(200.0),
                error: likely(0.2),
                decline: likely(0.2),
                reset: likely(0.1),
                reset_early: likely(0.1),
                hang: likely(0.1),
                cut: likely(0.1),
                garbage: likely(0.05),
                twice: likely(0.1),
                endless: likely(0.1),
                close_idle: likely(0.3),
                silent: likely(0.1),
            });
        }
        sleep(self.lasts).await;
        for (number, behaviour) in chosen.into_iter().zip(before) {
            self.world.upstreams[number].behave(behaviour);
        }
    }

    async fn discovery_down(&mut self) {
        let conditions = [Condition::Refusing, Condition::Silent, Condition::Broken];
        let condition = match self.world.discovery_mode {
            // An agent is silent while discovery is down.
            Mode::Push => Condition::Silent,
            Mode::Ask => conditions[self.random.random_range(0..conditions.len())],
        };
        self.world.discovery.condition(condition);
        sleep(self.lasts.max(Duration::from_secs(3))).await;
        self.world.discovery.condition(Condition::Up);
    }

    async fn spoilt_lists(&mut self) {
        let ask = self.world.discovery_mode == Mode::Ask;
        let faults = AnswerFaults {
            malformed: if ask {
                self.random.random_range(0.0..0.1)
            } else {
                0.0
            },
            ends: if ask {
                self.random.random_range(0.0..0.1)
            } else {
                0.0
            },
            pieces: self.random.random_range(0.0..0.5),
            whole: 0.5,
        };
        self.world.discovery.spoil(faults);
        sleep(self.lasts).await;
        self.world.discovery.spoil(AnswerFaults::default());
    }

    async fn faults(&mut self, faults: &[Fault], likely: f64) {
        let chosen = self.some_balancers();
        for &number in &chosen {
            let balancer = self.world.balancers[number].lock().await;
            for &fault in faults {
                let share = self.random.random_range(0.0..likely);
                note(balancer.fault(fault, millionths(share)));
            }
        }
        sleep(self.lasts).await;
        for &number in &chosen {
            note(self.world.balancers[number].lock().await.clear_faults());
        }
    }

    fn any_offset_ms(&mut self) -> i64 {
        let most = [HOUR_MS, 10_000][self.random.random_range(0..2)];
        self.random.random_range(-most..=most)
    }

    async fn clock_step(&mut self) {
        let number = self.any_balancer();
        let until = Instant::now() + self.lasts;
        while Instant::now() < until {
            let offset = self.any_offset_ms();
            note(
                self.world.balancers[number]
                    .lock()
                    .await
                    .fault(Fault::ClockOffset, offset),
            );
            sleep(Duration::from_millis(self.random.random_range(300..2000))).await;
        }
        note(
            self.world.balancers[number]
                .lock()
                .await
                .fault(Fault::ClockOffset, 0),
        );
    }

    async fn clock_off(&mut self) {
        let number = self.any_balancer();
        let offset = self.any_offset_ms();
        let world = self.world.clone();
        let set = |offset| {
            let world = world.clone();
            move || {
                if let Ok(balancer) = world.balancers[number].try_lock() {
                    note(balancer.fault(Fault::ClockOffset, offset));
                }
            }
        };
        self.world.clone().kill(number, set(offset)).await;
        sleep(self.lasts).await;
        self.world.clone().kill(number, set(0)).await;
    }

    async fn disk(&mut self) {
        let number = self.any_balancer();
        {
            let balancer = self.world.balancers[number].lock().await;
            note(balancer.fault(
                Fault::DiskWrite,
                millionths(self.random.random_range(0.0..0.6)),
            ));
            note(balancer.fault(
                Fault::DiskRead,
                millionths(self.random.random_range(0.0..0.6)),
            ));
        }
        self.orders_at(number).await;
        if self.random.random::<bool>() {
            self.world.clone().kill(number, || ()).await;
        }
        note(self.world.balancers[number].lock().await.clear_faults());
    }

    async fn orders(&mut self) {
        let number = self.any_balancer();
        self.orders_at(number).await;
    }

    /// Staff suspend and restore one upstream at one balancer, again and again.
    async fn orders_at(&mut self, number: usize) {
        let upstream = self.any_upstream();
        let name = upstream_name(upstream);
        let world = self.world.clone();
        let Ok(_only) = world.orders[number].try_lock() else {
            return;
        };
        let until = Instant::now() + self.lasts;
        while Instant::now() < until {
            if self.order(number, &format!("SUSPEND {name}")).await {
                self.world.oracle.told(
                    number,
                    SUSPENSIONS + upstream,
                    Listed::Closed,
                    Instant::now(),
                );
            }
            sleep(Duration::from_millis(self.random.random_range(200..1500))).await;
            // Whether or not it is answered, the call may have been carried out.
            self.world.oracle.told(
                number,
                SUSPENSIONS + upstream,
                Listed::Active,
                Instant::now(),
            );
            self.order(number, &format!("RESTORE {name}")).await;
            sleep(Duration::from_millis(self.random.random_range(100..800))).await;
        }
    }

    async fn order(&self, number: usize, call: &str) -> bool {
        let balancer = self.world.balancers[number].lock().await;
        balancer
            .ask(call)
            .await
            .is_ok_and(|answer| answer.starts_with("YES"))
    }
}

impl World {
    /// A balancer is told to end, ends, and starts again.
    pub async fn restart(self: Arc<Self>, number: usize) {
        let mut balancer = self.balancers[number].lock().await;
        if !balancer.runs() {
            return;
        }
        let told = Instant::now();
        balancer.signal(Signal::Terminate);
        sleep(STILL_COMING).await;
        self.crowds[number].refuses.store(true, Ordering::Relaxed);
        let code = balancer
            .exited(KILLED_AFTER.saturating_sub(told.elapsed()))
            .await;
        let ended = Instant::now();
        if code != Some(0) {
            let what = format!(
                "balancer {number} ended with {code:?} {:?} after SIGTERM",
                told.elapsed()
            );
            self.oracle.violated(Rule::Crash, what);
            balancer.kill().await;
        }
        self.start(&mut balancer).await;
        self.oracle.was_down(number, ended);
    }

    /// Another process of a balancer begins to serve beside it, and the first one is told to end.
    pub async fn upgrade(&self, number: usize) {
        let mut balancer = self.balancers[number].lock().await;
        if !balancer.runs() {
            return;
        }
        let known = self.discovery.snapshot_beside(number);
        if let Err(error) = balancer
            .upgrade(self.agent(number), &known, self.seed)
            .await
        {
            self.oracle.violated(
                Rule::Crash,
                format!("balancer {number} is not upgraded: {error}"),
            );
        }
    }

    /// A balancer is killed and starts again; `meanwhile` runs in between.
    pub async fn kill(self: Arc<Self>, number: usize, meanwhile: impl FnOnce()) {
        let killed = Instant::now();
        let mut balancer = self.balancers[number].lock().await;
        balancer.kill().await;
        self.crowds[number].refuses.store(true, Ordering::Relaxed);
        drop(balancer);
        meanwhile();
        let mut balancer = self.balancers[number].lock().await;
        self.start(&mut balancer).await;
        self.oracle.was_down(number, killed);
    }
}

fn note(result: std::io::Result<()>) {
    if let Err(error) = result {
        eprintln!("a fault could not be set: {error}");
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
