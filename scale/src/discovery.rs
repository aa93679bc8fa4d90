//! A stand-in for discovery: whole lists, watches and deltas as the protocol describes them.
pub mod churn;
pub mod registry;

use crate::counted::Traffic;
use crate::server::{answer, Answer, Server};
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
/// A watch waits this long at most, whatever it asks for.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// No version: what a connection has acknowledged before its first watch.
const NONE: u64 = u64::MAX;

/// A running discovery; it ends when dropped.
pub struct Discovery {
    server: Server,
    /// What it lists.
    pub registry: Arc<Registry>,
}

impl Discovery {
    /// Lists these endpoints; a watch from before the last `history` changes is answered with the whole list.
    pub fn start(endpoints: Vec<Endpoint>, history: usize) -> io::Result<Discovery> {
        let registry = Arc::new(Registry::new(endpoints, history));
        let shared = registry.clone();
        // The server is made before its traffic can be handed to its sessions, which count messages.
        let messages = Arc::new(std::sync::OnceLock::<Arc<Traffic>>::new());
        let traffic = messages.clone();
        let server = Server::start(move || {
            let (registry, traffic) = (shared.clone(), traffic.clone());
            let acknowledged = Arc::new(AtomicU64::new(NONE));
            service_fn(move |request| {
                let (registry, traffic) = (registry.clone(), traffic.clone());
                let acknowledged = acknowledged.clone();
                async move {
                    let answer = respond(&registry, &acknowledged, request).await;
                    if let Some(traffic) = traffic.get() {
                        traffic.record_message();
                    }
                    Ok::<_, Infallible>(answer)
                }
            })
        })?;
        // Nothing else sets it.
        let _ = messages.set(server.traffic.clone());
        Ok(Discovery { server, registry })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// What it has exchanged with its clients.
    pub fn traffic(&self) -> &Traffic {
        &self.server.traffic
    }
}

/// What a request asks for.
struct Watch {
    since: Option<u64>,
    wait: Duration,
}

impl Watch {
    fn read(query: &str) -> Option<Watch> {
        let mut watch = Watch {
            since: None,
            wait: Duration::ZERO,
        };
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            match pair.split_once('=')? {
                ("since", version) => watch.since = Some(version.parse().ok()?),
                ("timeout_ms", wait) => watch.wait = Duration::from_millis(wait.parse().ok()?),
                _ => {}
            }
        }
        watch.wait = watch.wait.min(MAX_WAIT);
        Some(watch)
    }
}

async fn respond(
    registry: &Registry,
    acknowledged: &AtomicU64,
    request: Request<Incoming>,
) -> Answer {
    if request.uri().path() != PATH {
        return answer(StatusCode::NOT_FOUND, "");
    }
    let Some(watch) = Watch::read(request.uri().query().unwrap_or_default()) else {
        return answer(StatusCode::BAD_REQUEST, "");
    };
    let Some(since) = watch.since else {
        return answer(StatusCode::OK, registry.whole());
    };
    // A balancer that asks for what follows a version has that version in force.
    let before = acknowledged.swap(since, Ordering::Relaxed);
    match before {
        NONE => registry.record_watcher(),
        before => registry.acknowledge(before, since),
    }
    registry.changed(since, watch.wait).await;
    answer(StatusCode::OK, registry.changes(since))
}
