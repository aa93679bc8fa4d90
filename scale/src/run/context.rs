//! What all measurements of a run share.
use crate::balancer::configuration::Configuration;
use crate::balancer::{BalancerProcess, Deployment, Workspace};
use crate::error::ScaleError;
use crate::experiment::Experiment;
use crate::hollow::HollowProcess;
use std::time::Duration;

/// Distance between the first seeds of two experiments whose `seed` differs by one. It is larger than the number of
/// repeats, so that repeats of the two experiments have different seeds.
const SEEDS_PER_EXPERIMENT: u64 = 1000;

/// The experiment, and everything that is needed to start its processes.
pub(super) struct Context {
    experiment: Experiment,
    deployment: Deployment,
    workspace: Workspace,
}

impl Context {
    /// Creates the workspace.
    pub(super) fn new(
        experiment: Experiment,
        deployment: Deployment,
    ) -> Result<Context, ScaleError> {
        Ok(Context {
            experiment,
            deployment,
            workspace: Workspace::create()?,
        })
    }

    pub(super) fn experiment(&self) -> &Experiment {
        &self.experiment
    }

    /// How long a measurement runs before its evaluated time begins.
    pub(super) fn warmup(&self) -> Duration {
        Duration::from_secs_f64(self.experiment.warmup_seconds)
    }

    /// Length of the evaluated time of a measurement.
    pub(super) fn evaluated_time(&self) -> Duration {
        Duration::from_secs_f64(self.experiment.measure_seconds)
    }

    /// The seed of one repeat, the same in every run.
    pub(super) fn seed(&self, repeat: u32) -> u64 {
        self.experiment
            .seed
            .wrapping_mul(SEEDS_PER_EXPERIMENT)
            .wrapping_add(u64::from(repeat))
    }

    /// Starts a process of the deployed program.
    pub(super) fn start_balancer(
        &self,
        configuration: &Configuration,
    ) -> Result<BalancerProcess, ScaleError> {
        BalancerProcess::start(&self.deployment, &self.workspace, configuration)
    }

    /// Starts a process with this number of hollow balancers.
    pub(super) fn start_hollow(
        &self,
        configuration: &Configuration,
        balancers: u32,
    ) -> Result<HollowProcess, ScaleError> {
        HollowProcess::start(&self.workspace, configuration, balancers)
    }
}
