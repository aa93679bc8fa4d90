//! Passes events to the core and carries out its actions.
use super::DriverHandle;
use crate::control::attempt_id::AttemptId;
use crate::control::driver_state::attempt_lifecycle::TimeoutResolution;
use crate::control::driver_state::DriverState;
use crate::control::prepared_attempt::PreparedAttempt;
use crate::control::timers::TimerEvent;
use crate::outbound::message::FinalResponse;
use crate::time::sleep_until;
use balancer_core::{Action, AttemptOutcome, Event};
use tokio::task::AbortHandle;
use tokio::time::Instant;

impl DriverHandle {
    /// Fires timers when they are due. Never returns.
    pub async fn run(&self) {
        self.0.state.borrow_mut().schedule_idle_connection_check();
        loop {
            let next_timer_at = self.0.state.borrow().next_timer_at();
            match next_timer_at {
                Some(due_at) if due_at <= Instant::now() => self.fire_next_timer(),
                Some(due_at) => tokio::select! {
                    () = sleep_until(due_at) => {}
                    () = self.0.timers_changed.notified() => {}
                },
                None => self.0.timers_changed.notified().await,
            }
        }
    }

    fn fire_next_timer(&self) {
        let Some(event) = self.0.state.borrow_mut().pop_timer() else {
            return;
        };
        match event {
            TimerEvent::CoreTimer(token) => self.handle_event(Event::Timer(token)),
            TimerEvent::AttemptTimeout(id) => self.attempt_timed_out(id),
            TimerEvent::IdleConnectionCheck => {
                let mut state = self.0.state.borrow_mut();
                state.close_expired_connections();
                state.schedule_idle_connection_check();
            }
        }
    }

    fn attempt_timed_out(&self, id: AttemptId) {
        let resolution = self.0.state.borrow_mut().resolve_timeout(id);
        match resolution {
            TimeoutResolution::ResponseOverdue => {
                self.attempt_ended(id, AttemptOutcome::Timeout, None);
            }
            TimeoutResolution::UploadOverdue => {
                // The client's time is over, so no other attempt may send the body.
                self.handle_event(Event::BodyDiscarded(id.request));
                self.attempt_ended(id, AttemptOutcome::ConnectFailed, None);
            }
            TimeoutResolution::ResponseKept | TimeoutResolution::Postponed => {}
        }
    }

    /// Passes an event to the core and carries out the actions that the core requests. Does the same for each event
    /// that these actions cause.
    pub(super) fn handle_event(&self, event: Event) {
        let mut state = self.0.state.borrow_mut();
        state.push_event(event);
        self.handle_events(&mut state);
    }

    fn handle_events(&self, state: &mut DriverState) {
        let mut actions = Vec::new();
        while state.handle_next_event(&mut actions) {
            for action in actions.drain(..) {
                self.perform_action(state, action);
            }
        }
    }

    fn perform_action(&self, state: &mut DriverState, action: Action) {
        match action {
            Action::Send {
                request,
                upstream,
                timeout,
            } => {
                if let Some(prepared) = state.prepare_attempt(request, upstream, timeout) {
                    let task = self.spawn_attempt(state, &prepared);
                    state.attempt_started(&prepared, task);
                    self.0.timers_changed.notify_one();
                }
            }
            Action::Cancel { request, attempt } => {
                let number = attempt;
                let id = AttemptId { request, number };
                state.attempt_ended(id, AttemptOutcome::Cancelled, None);
            }
            Action::Reject {
                request,
                retry_after,
            } => state.respond(request, FinalResponse::Rejected { retry_after }),
            Action::Fail { request } => state.respond(request, FinalResponse::Failed),
            Action::CloseIdleConnections(upstream) => state.close_idle_connections(upstream),
            Action::PollEndpoints => self.0.poll_requested.notify_one(),
            Action::SetTimer { after, token } => {
                state.set_core_timer(after, token);
                self.0.timers_changed.notify_one();
            }
            Action::Log(line) => state.log().write_line(&line),
        }
    }

    /// Spawns the task that carries out an attempt and reports its end.
    fn spawn_attempt(&self, state: &DriverState, prepared: &PreparedAttempt) -> AbortHandle {
        let driver = self.clone();
        let dispatch = state.dispatch().clone();
        let upstream = prepared.upstream.clone();
        let request = prepared.request.clone();
        let id = prepared.id;
        let deadline = prepared.deadline;
        let progress = prepared.response_progress.clone();
        let task = tokio::task::spawn_local(async move {
            let connected = || driver.0.state.borrow_mut().attempt_connected(id);
            let response_started = |response| driver.response_started(id, response);
            let result = dispatch
                .attempt(
                    upstream,
                    request,
                    deadline,
                    progress,
                    connected,
                    response_started,
                )
                .await;
            driver.attempt_ended(id, result.outcome, result.response);
        });
        task.abort_handle()
    }

    /// The response to an attempt has started and is relayed to the client from now on.
    fn response_started(&self, id: AttemptId, response: FinalResponse) {
        let in_flight = self.0.state.borrow_mut().response_started(id, response);
        if in_flight {
            self.handle_event(Event::ResponseStarted {
                request: id.request,
                attempt: id.number,
            });
        }
    }

    /// An attempt has ended. Does nothing if it had already ended.
    fn attempt_ended(
        &self,
        id: AttemptId,
        outcome: AttemptOutcome,
        response: Option<FinalResponse>,
    ) {
        let mut state = self.0.state.borrow_mut();
        if state.attempt_ended(id, outcome, response) {
            self.handle_events(&mut state);
        }
    }
}
