//! The memory of a process, as the kernel counts it.
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// This line of the process's status in `/proc`, in kB; 0 once it has exited.
pub fn memory_kb(pid: u32, line: &str) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let value = status
        .lines()
        .find_map(|found| found.strip_prefix(line)?.strip_prefix(':'));
    value.map_or(0, |value| {
        let digits = value.trim().trim_end_matches(" kB");
        digits.parse().expect("a number")
    })
}

/// Samples the anonymous memory of a process, which leaves out files and shared pages.
pub struct MemorySampler {
    is_stopped: Arc<AtomicBool>,
    peak_kb: Arc<AtomicUsize>,
    thread: thread::JoinHandle<()>,
}

impl MemorySampler {
    /// Starts to sample the process with this id.
    pub fn start(pid: u32) -> MemorySampler {
        MemorySampler::start_sum(&[pid])
    }

    /// Starts to sample what the processes with these ids use together.
    pub fn start_sum(pids: &[u32]) -> MemorySampler {
        let pids = pids.to_vec();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let peak_kb = Arc::new(AtomicUsize::new(0));
        let thread = {
            let (is_stopped, peak_kb) = (is_stopped.clone(), peak_kb.clone());
            thread::spawn(move || {
                while !is_stopped.load(Ordering::SeqCst) {
                    let used_kb = pids.iter().map(|&pid| memory_kb(pid, "RssAnon")).sum();
                    peak_kb.fetch_max(used_kb, Ordering::SeqCst);
                    thread::sleep(SAMPLE_INTERVAL);
                }
            })
        };
        MemorySampler {
            is_stopped,
            peak_kb,
            thread,
        }
    }

    /// Stops, and returns the largest sample in kB.
    pub fn stop(self) -> usize {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.thread.join().expect("the sampler has not failed");
        let peak_kb = self.peak_kb.load(Ordering::SeqCst);
        assert!(peak_kb > 0, "no sample was taken");
        peak_kb
    }
}
