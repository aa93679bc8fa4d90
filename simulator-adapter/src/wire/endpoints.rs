//! Endpoint lists: entries of 24 bytes in a batch's tail, and the updates that refer to them.
use crate::wire::error::RecordError;
use crate::wire::field::FieldReader;
use crate::wire::record::require_finite;
use balancer_core::{Availability, Endpoint, EndpointEvent};
use thiserror::Error;

/// An endpoint list as a table record carries it.
pub type EndpointTable = Vec<Endpoint>;

/// Size of an entry.
pub(super) const ENDPOINT_BYTES: usize = 24;
/// Size of an entry's relative capacity, which no decision reads.
const RELATIVE_CAPACITY_BYTES: usize = 4;

/// Whether an endpoint accepts work, as the wire states it.
mod availability_code {
    pub(super) const DRAINING: u8 = 0;
    pub(super) const GONE: u8 = 2;
    pub(super) const READY: u8 = 3;
}

/// What an endpoint update says.
mod update_kind {
    pub(super) const SNAPSHOT: u8 = 0;
    pub(super) const DISCOVERY_FAILED: u8 = 1;
    pub(super) const DELTA: u8 = 2;
    pub(super) const CACHED_SNAPSHOT: u8 = 3;
}

/// Why an endpoint update cannot be resolved.
#[derive(Debug, Error)]
pub enum EndpointUpdateError {
    /// No update has this kind.
    #[error("unknown kind of news {0}")]
    UnknownKind(u8),
    /// The simulator has not sent the table.
    #[error("points at a table that was never sent")]
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

/// The event of an endpoint update of this kind whose endpoints are in `table`.
pub fn endpoint_event(
    kind: u8,
    table: Option<&EndpointTable>,
) -> Result<EndpointEvent, EndpointUpdateError> {
    let endpoints = || table.cloned().ok_or(EndpointUpdateError::UnknownTable);
    match kind {
        update_kind::SNAPSHOT => Ok(EndpointEvent::Snapshot(endpoints()?)),
        update_kind::DISCOVERY_FAILED => Ok(EndpointEvent::DiscoveryFailed),
        update_kind::DELTA => Ok(EndpointEvent::Delta(endpoints()?)),
        update_kind::CACHED_SNAPSHOT => Ok(EndpointEvent::CachedSnapshot(endpoints()?)),
        other => Err(EndpointUpdateError::UnknownKind(other)),
    }
}
