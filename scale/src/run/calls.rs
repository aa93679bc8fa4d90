//! One measurement of calls: clients send a load to a chain of services.
use super::chain::{Chain, ChainSnapshot};
use super::context::Context;
use super::load_summary::summarize;
use crate::client::ConnectionPool;
use crate::error::ScaleError;
use crate::experiment::{Calls, CallsSize};
use crate::load::{send, LoadPlan};
use crate::report::{CallsMeasurement, LoadMeasurement};
use crate::timing::MeasurementClock;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Makes the random choices of the direct load differ from those of the load through the balancers.
const DIRECT_SEED_OFFSET: u64 = 1 << 32;
const MICROS_PER_SECOND: f64 = 1e6;

pub(super) async fn measure(
    context: &Context,
    section: &Calls,
    size: CallsSize,
    repeat: u32,
) -> Result<CallsMeasurement, ScaleError> {
    let clock = MeasurementClock::start();
    let seed = context.seed(repeat);
    let mut chain = Chain::start(context, section, size, clock, seed).await?;
    let plan = load_plan(context, section, size, seed);
    let direct = if section.direct {
        Some(measure_direct(context, &chain, &plan, clock).await)
    } else {
        None
    };
    let pool = Arc::new(ConnectionPool::new(chain.address(), seed));
    let (records, window) = tokio::join!(
        send(plan, vec![pool], clock),
        Window::observe(context, &chain)
    );
    let window = window?;
    chain.ensure_running()?;
    let balanced = summarize(&records, context.warmup());
    Ok(window.measurement(balanced, direct))
}

fn load_plan(context: &Context, section: &Calls, size: CallsSize, seed: u64) -> LoadPlan {
    LoadPlan {
        calls_per_second: size.calls_per_second,
        duration: context.warmup() + context.evaluated_time(),
        read_fraction: section.get_percent / 100.0,
        new_connection_fraction: section.new_connection_percent / 100.0,
        body: Bytes::from(vec![b'.'; section.body_bytes as usize]),
        timeout: Duration::from_millis(u64::from(section.deadline_ms)),
        seed,
    }
}

/// Sends the load to the instances of the first service, without a balancer.
async fn measure_direct(
    context: &Context,
    chain: &Chain,
    plan: &LoadPlan,
    clock: MeasurementClock,
) -> LoadMeasurement {
    let plan = LoadPlan {
        seed: plan.seed + DIRECT_SEED_OFFSET,
        ..plan.clone()
    };
    let records = send(plan, chain.direct_pools(), clock).await;
    summarize(&records, context.warmup())
}

/// Snapshots of a chain at the start and the end of the evaluated time.
struct Window {
    before: ChainSnapshot,
    after: ChainSnapshot,
}

impl Window {
    async fn observe(context: &Context, chain: &Chain) -> Result<Window, ScaleError> {
        tokio::time::sleep(context.warmup()).await;
        let before = chain.snapshot()?;
        tokio::time::sleep(context.evaluated_time()).await;
        let after = chain.snapshot()?;
        Ok(Window { before, after })
    }

    fn measurement(
        &self,
        balanced: LoadMeasurement,
        direct: Option<LoadMeasurement>,
    ) -> CallsMeasurement {
        let calls = balanced.outcomes.calls.max(1) as f64;
        let before = &self.before;
        let after = &self.after;
        let processor = after
            .first_balancer
            .processor
            .saturating_sub(before.first_balancer.processor);
        let attempts = after.attempts.iter().zip(&before.attempts);
        CallsMeasurement {
            balanced,
            direct,
            processor_us_per_call: processor.as_secs_f64() * MICROS_PER_SECOND / calls,
            resident_mb: after.first_balancer.resident_mb,
            attempts_per_call: attempts
                .map(|(after, before)| (after - before) as f64 / calls)
                .collect(),
        }
    }
}
