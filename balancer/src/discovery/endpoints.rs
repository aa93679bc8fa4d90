//! Endpoint lists as discovery reports them: the wire format, parsed into typed updates.
use balancer_core::{Availability, Endpoint, UpstreamId};
use balancer_settings::Deployment;
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Start times of upstreams must be below this Unix time in milliseconds.
const STARTED_AT_LIMIT_MS: f64 = 1e15;

/// What is wrong with an endpoint list.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// The text is not JSON, or not of the expected form.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// An endpoint's state is unknown.
    #[error("upstream {upstream:?}: unknown state {state:?}")]
    UnknownState {
        /// The endpoint's name.
        upstream: String,
        /// Its state as reported.
        state: String,
    },
    /// An endpoint has no name, or its start time is out of range.
    #[error(
        "upstream {upstream:?}: the id is empty, or started_ms {started_ms} is not in the range \
         from 0 to below {STARTED_AT_LIMIT_MS:e}"
    )]
    Malformed {
        /// The endpoint's name.
        upstream: String,
        /// Its start time as reported.
        started_ms: f64,
    },
}

/// Names of zones and machine kinds. The core knows each by its position.
#[derive(Clone, Debug)]
pub struct TopologyNames {
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl TopologyNames {
    /// The names that the settings list.
    pub fn of(deployment: &Deployment) -> TopologyNames {
        TopologyNames {
            zones: deployment.zones.clone(),
            kinds: deployment.kinds.clone(),
        }
    }

    /// Position of a zone. A zone that the settings do not list gets the position `u16::MAX`, which no class allows:
    /// classes that are restricted to zones do not use its endpoints.
    fn zone(&self, name: &str) -> u16 {
        self.zones
            .iter()
            .position(|zone| zone == name)
            .map_or(u16::MAX, |index| index as u16)
    }

    /// Position of a machine kind. A kind that the settings do not list gets the position `u8::MAX`, which no class
    /// allows: classes that are restricted to kinds do not use its endpoints.
    fn kind(&self, name: &str) -> u8 {
        self.kinds
            .iter()
            .position(|kind| kind == name)
            .map_or(u8::MAX, |index| index as u8)
    }
}

/// An update on the wire.
#[derive(Deserialize)]
struct RawUpdate {
    version: u64,
    full: bool,
    servers: Vec<RawEndpoint>,
}

/// An endpoint on the wire.
#[derive(Deserialize)]
struct RawEndpoint {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u16,
    state: String,
    #[serde(default)]
    started_ms: f64,
}

impl RawEndpoint {
    fn into_listed(self, names: &TopologyNames) -> Result<ListedEndpoint, EndpointListError> {
        let availability = match self.state.as_str() {
            "active" => Availability::Ready,
            "leaving" => Availability::Draining,
            "left" => Availability::Gone,
            _ => {
                return Err(EndpointListError::UnknownState {
                    upstream: self.id,
                    state: self.state,
                })
            }
        };
        if self.id.is_empty() || !(0.0..STARTED_AT_LIMIT_MS).contains(&self.started_ms) {
            return Err(EndpointListError::Malformed {
                upstream: self.id,
                started_ms: self.started_ms,
            });
        }
        let core_endpoint = Endpoint {
            id: upstream_id(&self.id),
            zone: names.zone(&self.zone),
            kind: names.kind(&self.kind),
            group: self.cell,
            availability,
            started_at: self.started_ms,
        };
        Ok(ListedEndpoint {
            core_endpoint,
            address: self.addr,
        })
    }
}

/// One endpoint of an update.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The endpoint as the core knows it.
    pub core_endpoint: Endpoint,
    /// The address at which this balancer reaches it.
    pub address: SocketAddr,
}

/// One response of discovery: the complete list of endpoints, or only those that changed.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// Grows with each change.
    pub version: u64,
    /// Whether this is the complete list, or only what changed.
    pub full: bool,
    /// The endpoints.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointUpdate {
    /// Parses a response. One malformed endpoint makes the whole list invalid, so that it never replaces a valid one.
    pub fn parse(json: &[u8], names: &TopologyNames) -> Result<EndpointUpdate, EndpointListError> {
        let raw: RawUpdate = serde_json::from_slice(json)?;
        let endpoints = raw
            .servers
            .into_iter()
            .map(|endpoint| endpoint.into_listed(names))
            .collect::<Result<Vec<ListedEndpoint>, EndpointListError>>()?;
        Ok(EndpointUpdate {
            version: raw.version,
            full: raw.full,
            endpoints,
        })
    }

    /// The endpoints as the core receives them.
    pub fn core_endpoints(&self) -> impl Iterator<Item = Endpoint> + '_ {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.core_endpoint.clone())
    }
}

/// The id of an upstream: a hash (FNV-1a) of its name, the same at every balancer. The core spreads the balancers over
/// the upstreams by a ring of these ids; ids in order of arrival would overload some upstreams.
pub fn upstream_id(name: &str) -> UpstreamId {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = FNV_OFFSET_BASIS;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    UpstreamId(hash)
}
