//! Reloads of the configuration while the process runs.
use crate::process::config_file::load_config;
use crate::process::signals::SignalStream;
use crate::telemetry::log::log_line;
use crate::telemetry::metrics::Metrics;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long reading the file is retried: much shorter than the 4 s after the signal from which on the balancer counts
/// as notified of a migration of discovery.
const READ_RETRY_LIMIT: Duration = Duration::from_millis(1500);

/// Reloads the configuration at each signal. Only discovery's address can change while the process runs. A file that
/// is invalid or cannot be read changes nothing.
pub async fn reload_on_signal(
    reload: SignalStream,
    discovery_address: watch::Sender<SocketAddr>,
    metrics: Rc<Metrics>,
) {
    loop {
        reload.received().await;
        let loaded = load_config(READ_RETRY_LIMIT).await;
        metrics.record_reload(loaded.is_ok());
        match loaded {
            Ok(config) => {
                discovery_address.send_if_modified(|address| {
                    let previous = std::mem::replace(address, config.discovery_address);
                    previous != config.discovery_address
                });
            }
            Err(error) => {
                let message = error.to_string().replace('\n', " ");
                log_line!("balancer: configuration not reloaded: {message}");
            }
        }
    }
}
