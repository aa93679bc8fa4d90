//! The overrides that operators have set.
use balancer_core::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The version of the stored format. A file with another version is not read.
pub const FORMAT_VERSION: u32 = 1;

/// All overrides in force. Processes of other versions read and write them too, so the names in the stored file must
/// not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Overrides {
    #[serde(rename = "version")]
    format_version: u32,
    /// Grows with each change.
    revision: u64,
    /// How many processes of this balancer have started to serve.
    #[serde(rename = "processes")]
    started_processes: u64,
    /// Whether this balancer is paused: it closes idle client connections, and the others with their next response.
    paused: bool,
    /// Names of the suspended upstreams.
    suspended: BTreeSet<String>,
    /// When upstreams were restored, by name, in milliseconds since the Unix epoch. Kept for as long as they may still
    /// be warming up.
    restored: BTreeMap<String, Millis>,
}

impl Default for Overrides {
    fn default() -> Overrides {
        Overrides {
            format_version: FORMAT_VERSION,
            revision: 0,
            started_processes: 0,
            paused: false,
            suspended: BTreeSet::new(),
            restored: BTreeMap::new(),
        }
    }
}

impl Overrides {
    /// The version of the stored format that these were read from.
    pub fn format_version(&self) -> u32 {
        self.format_version
    }

    /// How many processes of this balancer have started to serve.
    pub fn started_processes(&self) -> u64 {
        self.started_processes
    }

    /// Whether this balancer is paused.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Names of the suspended upstreams.
    pub fn suspended(&self) -> &BTreeSet<String> {
        &self.suspended
    }

    /// When upstreams were restored, by name, in milliseconds since the Unix epoch.
    pub fn restored(&self) -> &BTreeMap<String, Millis> {
        &self.restored
    }

    /// Counts a process that starts to serve.
    pub fn register_process(&mut self) {
        self.started_processes += 1;
    }

    /// Pauses this balancer, or ends the pause.
    pub fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Suspends an upstream.
    pub fn suspend(&mut self, name: &str) {
        self.restored.remove(name);
        self.suspended.insert(name.to_string());
    }

    /// Restores an upstream if it is suspended. Upstreams restored at least `slow_start_duration` ago have
    /// warmed up, and their times are removed. Times are in milliseconds.
    pub fn restore(&mut self, name: &str, now: Millis, slow_start_duration: Millis) {
        self.restored
            .retain(|_, &mut restored_at| now - restored_at < slow_start_duration);
        if self.suspended.remove(name) {
            self.restored.insert(name.to_string(), now);
        }
    }

    /// Counts a change, so that other processes detect it.
    pub fn increment_revision(&mut self) {
        self.revision += 1;
    }

    /// Whether these overrides have a later revision than `other`.
    pub fn is_newer_than(&self, other: &Overrides) -> bool {
        self.revision > other.revision
    }
}
