//! A request between its admission and the end of its last attempt.
use crate::class::Class;
use crate::endpoint::Endpoint;
use crate::policy::attempt::{Attempt, FirstPossibleRun};
use crate::time::Millis;

/// Fraction of its objective at which a request ends if a late response has no value: just early enough to
/// respond in time.
const USEFUL_FRACTION: f64 = 0.98;

pub(super) struct PendingRequest {
    class: usize,
    /// When a response loses its value; infinite while the body is incomplete.
    expires_at: Millis,
    /// Number of attempts sent; the maximum number once retries are forbidden.
    used_attempts: u32,
    /// The attempts in flight.
    attempts: Vec<Attempt>,
    /// The first attempt that may have run, if any.
    first_possible_run: Option<FirstPossibleRun>,
    /// The endpoint of the newest attempt.
    previous_endpoint: Option<usize>,
    /// Whether the client needs no further response.
    is_closed: bool,
}

impl PendingRequest {
    pub(super) fn new(class: usize, expires_at: Millis) -> Self {
        PendingRequest {
            class,
            expires_at,
            used_attempts: 0,
            attempts: Vec::new(),
            first_possible_run: None,
            previous_endpoint: None,
            is_closed: false,
        }
    }

    pub(super) fn class(&self) -> usize {
        self.class
    }

    pub(super) fn expires_at(&self) -> Millis {
        self.expires_at
    }

    pub(super) fn is_body_incomplete(&self) -> bool {
        self.expires_at == f64::INFINITY
    }

    pub(super) fn complete_body(&mut self, expires_at: Millis) {
        self.expires_at = expires_at;
    }

    pub(super) fn is_closed(&self) -> bool {
        self.is_closed
    }

    pub(super) fn close(&mut self) {
        self.is_closed = true;
    }

    pub(super) fn has_attempts(&self) -> bool {
        !self.attempts.is_empty()
    }

    pub(super) fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    pub(super) fn attempts_mut(&mut self) -> &mut [Attempt] {
        &mut self.attempts
    }

    pub(super) fn attempt(&self, number: u32) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.number == number)
    }

    pub(super) fn attempt_mut(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempts
            .iter_mut()
            .find(|attempt| attempt.number == number)
    }

    pub(super) fn first_possible_run(&self) -> Option<FirstPossibleRun> {
        self.first_possible_run
    }

    pub(super) fn previous_endpoint(&self) -> Option<usize> {
        self.previous_endpoint
    }

    pub(super) fn has_remaining_attempts(&self, max_attempts: u32) -> bool {
        self.used_attempts < max_attempts
    }

    /// Prevents further attempts.
    pub(super) fn forbid_retries(&mut self, max_attempts: u32) {
        self.used_attempts = max_attempts;
    }

    /// Adds an attempt to the endpoint at `index`.
    pub(super) fn start_attempt(
        &mut self,
        index: usize,
        endpoint: &Endpoint,
        idle_bucket: usize,
        now: Millis,
    ) -> &Attempt {
        let is_awaited = self.expires_at.is_finite();
        let number = self.used_attempts;
        self.used_attempts += 1;
        self.previous_endpoint = Some(index);
        self.first_possible_run.get_or_insert(FirstPossibleRun {
            attempt: number,
            sent_at: now,
            zone: endpoint.zone,
            group: endpoint.group,
        });
        let position = self.attempts.len();
        self.attempts.push(Attempt {
            number,
            class: self.class,
            endpoint: index,
            idle_bucket,
            sent_at: if is_awaited { now } else { f64::INFINITY },
            has_early_timeout: false,
            is_awaited,
        });
        &self.attempts[position]
    }

    pub(super) fn remove_attempt(&mut self, number: u32) -> Option<Attempt> {
        let position = self
            .attempts
            .iter()
            .position(|attempt| attempt.number == number)?;
        Some(self.attempts.swap_remove(position))
    }

    /// Records that the last attempt in flight never ran, as its outcome proves.
    pub(super) fn record_never_ran(&mut self, number: u32) {
        self.first_possible_run.take_if(|run| run.attempt == number);
    }
}

/// When a request expires whose client waits until `deadline`. A late response without value would only use
/// capacity in every tier above.
pub(super) fn expiry(class: &Class, deadline: Millis, now: Millis) -> Millis {
    let is_always_useful = deadline == f64::INFINITY || class.late_weight > 0.0;
    let useful_end = if is_always_useful {
        f64::INFINITY
    } else {
        now + class.objective * USEFUL_FRACTION
    };
    // `min` also replaces a deadline that is not a number.
    deadline.min(useful_end)
}
