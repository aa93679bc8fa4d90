//! Endpoints of upstreams as discovery reports them: the wire form, parsed into typed updates.
use balancer_core::{Availability, Endpoint, UpstreamId};
use balancer_settings::Deployment;
use serde::Deserialize;
use std::future::Future;
use std::net::SocketAddr;

/// Largest Unix time in milliseconds that is accepted as the start of an upstream.
const STARTED_MS_LIMIT: f64 = 1e15;

/// Names of zones and machine kinds. The decision module knows each by its position.
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

    /// Position of a zone. One that the settings do not list gets a position that no class is bound to.
    fn zone(&self, name: &str) -> u16 {
        self.zones
            .iter()
            .position(|zone| zone == name)
            .map_or(u16::MAX, |index| index as u16)
    }

    /// Position of a machine kind, likewise.
    fn kind(&self, name: &str) -> u8 {
        self.kinds
            .iter()
            .position(|kind| kind == name)
            .map_or(u8::MAX, |index| index as u8)
    }
}

#[derive(Deserialize)]
struct RawUpdate {
    version: u64,
    full: bool,
    servers: Vec<RawEndpoint>,
}

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
    fn validate(self, names: &TopologyNames) -> Result<ListedEndpoint, String> {
        let availability = match self.state.as_str() {
            "active" => Availability::Ready,
            "leaving" => Availability::Draining,
            "left" => Availability::Gone,
            other => return Err(format!("upstream {:?}: unknown state {other:?}", self.id)),
        };
        if self.id.is_empty() || !(0.0..STARTED_MS_LIMIT).contains(&self.started_ms) {
            return Err(format!(
                "upstream {:?}: started_ms reads {}",
                self.id, self.started_ms
            ));
        }
        let member = Endpoint {
            id: upstream_id(&self.id),
            zone: names.zone(&self.zone),
            kind: names.kind(&self.kind),
            group: self.cell,
            availability,
            started_at: self.started_ms,
        };
        Ok(ListedEndpoint {
            member,
            address: self.addr,
        })
    }
}

/// One upstream of an update.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// What the decision module knows of it.
    pub member: Endpoint,
    /// Where it listens, as this balancer sees it.
    pub address: SocketAddr,
}

/// One answer of discovery: the whole list of endpoints, or those that changed.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// Grows with each change.
    pub version: u64,
    /// Whether this is the whole list, or only what changed.
    pub full: bool,
    /// The upstreams.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointUpdate {
    /// Reads an answer. One bad entry makes all of it invalid, so that a malformed list never replaces a good one.
    pub fn parse(json: &[u8], names: &TopologyNames) -> Result<EndpointUpdate, String> {
        let raw: RawUpdate = serde_json::from_slice(json).map_err(|e| e.to_string())?;
        let endpoints = raw
            .servers
            .into_iter()
            .map(|endpoint| endpoint.validate(names))
            .collect::<Result<_, _>>()?;
        Ok(EndpointUpdate {
            version: raw.version,
            full: raw.full,
            endpoints,
        })
    }

    /// What the decision module is told of each endpoint.
    pub fn members(&self) -> impl Iterator<Item = Endpoint> + '_ {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.member.clone())
    }
}

/// Takes what the discovery client receives.
pub trait EndpointConsumer {
    /// Waits until the list of endpoints is wanted.
    fn subscribed(&self) -> impl Future<Output = ()>;

    /// Puts an update in force; it is in force once this returns.
    fn apply(&self, update: &EndpointUpdate);

    /// Discovery answered that nothing changed.
    fn confirm(&self);

    /// Discovery is elsewhere from now on.
    fn moved(&self);

    /// A call for the list failed, or the watch broke; `refused` if discovery said so itself.
    fn update_failed(&self, refused: bool);
}

/// A stable id for an upstream's name, the same at every balancer (FNV-1a): the decision module spreads the balancers
/// over the upstreams by a ring of these ids, so numbers given in order of arrival would overload some of them.
pub fn upstream_id(name: &str) -> UpstreamId {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    UpstreamId(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}
