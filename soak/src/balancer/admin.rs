//! A client of a balancer's admin endpoint. A command is one line; its response ends when the connection is closed.
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of one command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// First word of the response to a command that was carried out.
const SUCCESS: &str = "YES";
/// The metric that counts violations of the balancer's own invariants.
const VIOLATIONS_METRIC: &str = "node_violations";

/// Why a command got no response.
#[derive(Debug, thiserror::Error)]
enum AdminError {
    /// The connection failed.
    #[error("connection to the admin endpoint {address} failed: {source}")]
    Io {
        /// The admin endpoint.
        address: SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The response did not arrive in time.
    #[error("no response from the admin endpoint {address} within {limit:?}", limit = COMMAND_TIMEOUT)]
    Timeout {
        /// The admin endpoint.
        address: SocketAddr,
    },
}

/// Sends commands to the admin endpoint of one process.
#[derive(Clone, Copy, Debug)]
pub struct AdminClient {
    address: SocketAddr,
}

impl AdminClient {
    pub(super) fn new(address: SocketAddr) -> AdminClient {
        AdminClient { address }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the process serves clients.
    pub async fn is_serving(&self) -> bool {
        self.succeeds("STATUS").await
    }

    /// Suspends an endpoint. Returns whether the balancer has confirmed it.
    pub async fn suspend(&self, endpoint_id: &str) -> bool {
        self.succeeds(&format!("SUSPEND {endpoint_id}")).await
    }

    /// Ends the suspension of an endpoint. Returns whether the balancer has confirmed it.
    pub async fn restore(&self, endpoint_id: &str) -> bool {
        self.succeeds(&format!("RESTORE {endpoint_id}")).await
    }

    /// The metrics above zero that count violations of the balancer's own invariants.
    pub async fn violation_metrics(&self) -> Vec<String> {
        let metrics = self.send("METRICS").await.unwrap_or_default();
        metrics
            .lines()
            .filter(|line| line.starts_with(VIOLATIONS_METRIC) && !line.ends_with(" 0"))
            .map(str::to_string)
            .collect()
    }

    async fn succeeds(&self, command: &str) -> bool {
        self.send(command)
            .await
            .is_ok_and(|response| response.starts_with(SUCCESS))
    }

    /// Sends a command and returns the response.
    async fn send(&self, command: &str) -> Result<String, AdminError> {
        let address = self.address;
        let exchange = async {
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(format!("{command}\n").as_bytes()).await?;
            let mut response = String::new();
            stream.read_to_string(&mut response).await?;
            Ok::<_, io::Error>(response)
        };
        match timeout(COMMAND_TIMEOUT, exchange).await {
            Ok(exchanged) => exchanged.map_err(|source| AdminError::Io { address, source }),
            Err(_) => Err(AdminError::Timeout { address }),
        }
    }
}
