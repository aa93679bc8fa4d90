//! The balancer instances of the process, and the handling of batches by them.
use crate::wire::{self, Batch, EndpointTable, EndpointUpdateError, Record, ReplyBuilder};
use balancer_core::{Action, Balancer, Event, Millis, SettingsError};
use balancer_settings::SettingsParseError;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why a batch could not be handled.
#[derive(Debug, Error)]
#[error("record {record}: {source}")]
pub struct BatchError {
    /// Position in the batch of the record that failed, counted from zero.
    record: usize,
    /// The cause.
    source: HostError,
}

/// Why a record could not be handled.
#[derive(Debug, Error)]
enum HostError {
    /// The record concerns an instance, and no earlier record of the batch selects one.
    #[error("no instance is selected by an earlier record of the batch")]
    NoInstance,
    /// An instance's settings cannot be parsed.
    #[error("settings of instance {instance}: {source}")]
    Settings {
        instance: u16,
        source: SettingsParseError,
    },
    /// The core rejected an instance's settings.
    #[error(transparent)]
    Rejected(#[from] SettingsError),
    /// An endpoint update is invalid.
    #[error("endpoint update that refers to table {table}: {source}")]
    EndpointUpdate {
        table: u32,
        source: EndpointUpdateError,
    },
}

/// All balancer instances of the process.
#[derive(Default)]
pub struct Host {
    /// Running instances by their numbers.
    balancers: BTreeMap<u16, Balancer>,
    /// Endpoint tables by their numbers.
    tables: BTreeMap<u32, EndpointTable>,
    /// Actions of the event being handled; empty between events.
    actions: Vec<Action>,
    reply: ReplyBuilder,
    /// The instance that the reply's latest records belong to; `None` before the first.
    reply_instance: Option<u16>,
}

impl Host {
    /// Handles all records of a batch in order and returns the encoded reply.
    pub fn handle_batch(&mut self, batch: Batch) -> Result<Vec<u8>, BatchError> {
        let mut selected = None;
        self.reply_instance = None;
        for (position, record) in batch.records.into_iter().enumerate() {
            self.handle_record(record, batch.now, &batch.tail, &mut selected)
                .map_err(|source| BatchError {
                    record: position,
                    source,
                })?;
        }
        Ok(self.reply.finish(batch.number))
    }

    fn handle_record(
        &mut self,
        record: Record,
        now: Millis,
        tail: &[u8],
        selected: &mut Option<u16>,
    ) -> Result<(), HostError> {
        let instance = selected.ok_or(HostError::NoInstance);
        match record {
            Record::SelectInstance(instance) => *selected = Some(instance),
            Record::StartInstance { seed, settings } => {
                self.start_instance(instance?, seed, &tail[settings], now)?;
            }
            Record::StopInstance => {
                self.balancers.remove(&instance?);
            }
            Record::EndpointTable { number, endpoints } => {
                self.tables.insert(number, endpoints);
            }
            Record::EndpointUpdate { update_code, table } => {
                let event = wire::endpoint_event(update_code, self.tables.get(&table))
                    .map_err(|source| HostError::EndpointUpdate { table, source })?;
                self.handle_event(instance?, now, Event::Endpoints(event));
            }
            Record::Event(event) => self.handle_event(instance?, now, event),
            Record::Ignored => {}
        }
        Ok(())
    }

    fn start_instance(
        &mut self,
        instance: u16,
        seed: u64,
        settings: &[u8],
        now: Millis,
    ) -> Result<(), HostError> {
        let settings = balancer_settings::parse_settings(settings)
            .map_err(|source| HostError::Settings { instance, source })?;
        let balancer = Balancer::new(settings, seed, now)?;
        self.balancers.insert(instance, balancer);
        Ok(())
    }

    /// Passes an event to an instance and adds its actions to the reply. An event for an instance that does not run is
    /// dropped.
    fn handle_event(&mut self, instance: u16, now: Millis, event: Event) {
        let Some(balancer) = self.balancers.get_mut(&instance) else {
            return;
        };
        balancer.handle(now, event, &mut self.actions);
        if self.actions.is_empty() {
            return;
        }
        if self.reply_instance != Some(instance) {
            self.reply.select_instance(instance);
            self.reply_instance = Some(instance);
        }
        for action in self.actions.drain(..) {
            self.reply.push_action(&action);
        }
    }
}
