//! A stand-in for discovery: snapshots, watches and deltas as the protocol describes them.
pub mod endpoint_changes;
pub mod registry;

use crate::server::{response, Server, StandInResponse};
use crate::traffic::Traffic;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use registry::{Endpoint, Registry};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

const PATH: &str = "/api/targets";
/// A watch waits at most this long, whatever timeout it asks for.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(60);
/// The acknowledged version of a connection that has not acknowledged any version yet.
const NO_VERSION: u64 = u64::MAX;

/// A running discovery. It ends when dropped.
pub struct Discovery {
    server: Server,
    traffic: Arc<Traffic>,
    registry: Arc<Registry>,
}

impl Discovery {
    /// Lists these endpoints. A watch from before the last `history` changes is answered with a snapshot.
    pub fn start(endpoints: Vec<Endpoint>, history: usize) -> io::Result<Discovery> {
        let registry = Arc::new(Registry::new(endpoints, history));
        let traffic = Arc::new(Traffic::default());
        let session_registry = registry.clone();
        let session_traffic = traffic.clone();
        let server = Server::start_counting(traffic.clone(), move || {
            let session = Arc::new(Session {
                registry: session_registry.clone(),
                traffic: session_traffic.clone(),
                acknowledged_version: AtomicU64::new(NO_VERSION),
            });
            service_fn(move |request| {
                let session = session.clone();
                async move { Ok::<_, Infallible>(session.serve(request).await) }
            })
        })?;
        Ok(Discovery {
            server,
            traffic,
            registry,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The bytes and messages exchanged with its clients.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// The endpoint list.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }
}

/// One connection of a balancer.
struct Session {
    registry: Arc<Registry>,
    traffic: Arc<Traffic>,
    /// The version that the balancer had in force at its latest watch.
    acknowledged_version: AtomicU64,
}

impl Session {
    async fn serve(&self, request: Request<Incoming>) -> StandInResponse {
        let response = self.respond(request).await;
        self.traffic.record_message();
        response
    }

    async fn respond(&self, request: Request<Incoming>) -> StandInResponse {
        if request.uri().path() != PATH {
            return response(StatusCode::NOT_FOUND, "");
        }
        let Some(query) = ListQuery::parse(request.uri().query().unwrap_or_default()) else {
            return response(StatusCode::BAD_REQUEST, "");
        };
        let Some(since) = query.since else {
            return response(StatusCode::OK, self.registry.snapshot());
        };
        self.acknowledge(since);
        self.registry
            .wait_for_change(since, query.watch_timeout)
            .await;
        response(StatusCode::OK, self.registry.changes_since(since))
    }

    /// A balancer that asks for the changes since a version has that version in force.
    fn acknowledge(&self, version: u64) {
        let previous = self.acknowledged_version.swap(version, Ordering::Relaxed);
        if previous == NO_VERSION {
            self.registry.record_watcher();
        } else {
            self.registry.acknowledge(previous, version);
        }
    }
}

/// The query of a request for the endpoint list.
struct ListQuery {
    /// Asks for the changes since this version; none: for a snapshot.
    since: Option<u64>,
    /// How long to wait for a change.
    watch_timeout: Duration,
}

impl ListQuery {
    fn parse(query: &str) -> Option<ListQuery> {
        let mut since = None;
        let mut watch_timeout = Duration::ZERO;
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            match pair.split_once('=')? {
                ("since", version) => since = Some(version.parse().ok()?),
                ("timeout_ms", millis) => {
                    watch_timeout = Duration::from_millis(millis.parse().ok()?);
                }
                _ => {}
            }
        }
        Some(ListQuery {
            since,
            watch_timeout: watch_timeout.min(MAX_WATCH_TIMEOUT),
        })
    }
}
