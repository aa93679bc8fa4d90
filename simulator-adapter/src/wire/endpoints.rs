//! Endpoint tables: lists of entries of 24 bytes in a batch's tail, and the updates that refer to them.
use crate::wire::error::RecordError;
use crate::wire::field::FieldReader;
use crate::wire::record::require_finite;
use balancer_core::{Availability, Endpoint, EndpointEvent};
use thiserror::Error;

/// The endpoint list of a table record.
pub type EndpointTable = Vec<Endpoint>;

/// Size of an entry of a table, in bytes.
pub(super) const ENDPOINT_BYTES: usize = 24;
/// Size of an entry's relative capacity, in bytes. The balancer does not use it.
const RELATIVE_CAPACITY_BYTES: usize = 4;

/// Codes for whether an endpoint accepts requests.
mod availability_code {
    pub(super) const DRAINING: u8 = 0;
    pub(super) const GONE: u8 = 2;
    pub(super) const READY: u8 = 3;
}

/// Codes of endpoint updates.
mod update_code {
    pub(super) const SNAPSHOT: u8 = 0;
    pub(super) const DISCOVERY_FAILED: u8 = 1;
    pub(super) const DELTA: u8 = 2;
    pub(super) const CACHED_SNAPSHOT: u8 = 3;
}

/// Why an endpoint update is invalid.
#[derive(Debug, Error)]
pub enum EndpointUpdateError {
    /// No endpoint update has this code.
    #[error("unknown endpoint update code {0}")]
    UnknownUpdate(u8),
    /// The update refers to a table that the simulator has not sent.
    #[error("no table with this number was received")]
    UnknownTable,
}

/// Decodes an entry of [`ENDPOINT_BYTES`] bytes.
pub(super) fn decode_endpoint(entry: &[u8]) -> Result<Endpoint, RecordError> {
    let mut fields = FieldReader::new(entry);
    let id = fields.upstream();
    let zone = fields.u16();
    let kind = fields.u8();
    let group = fields.u16();
    let availability = decode_availability(fields.u8())?;
    fields.skip(RELATIVE_CAPACITY_BYTES);
    let started_at = require_finite("start time of an upstream", fields.f64())?;
    Ok(Endpoint {
        id,
        zone,
        kind,
        group,
        availability,
        started_at,
    })
}

fn decode_availability(code: u8) -> Result<Availability, RecordError> {
    match code {
        availability_code::READY => Ok(Availability::Ready),
        availability_code::DRAINING => Ok(Availability::Draining),
        availability_code::GONE => Ok(Availability::Gone),
        other => Err(RecordError::UnknownAvailability(other)),
    }
}

/// Returns the event for the endpoint update with this code, with the endpoints of `table`. The report of a failed call
/// to discovery needs no table.
pub fn endpoint_event(
    code: u8,
    table: Option<&EndpointTable>,
) -> Result<EndpointEvent, EndpointUpdateError> {
    let endpoints = || table.cloned().ok_or(EndpointUpdateError::UnknownTable);
    match code {
        update_code::SNAPSHOT => Ok(EndpointEvent::Snapshot(endpoints()?)),
        update_code::DISCOVERY_FAILED => Ok(EndpointEvent::DiscoveryFailed),
        update_code::DELTA => Ok(EndpointEvent::Delta(endpoints()?)),
        update_code::CACHED_SNAPSHOT => Ok(EndpointEvent::CachedSnapshot(endpoints()?)),
        other => Err(EndpointUpdateError::UnknownUpdate(other)),
    }
}
