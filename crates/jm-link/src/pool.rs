//! Pool of connections to other daemons. Connections are opened on demand and shared by all calls to the same address.

use std::sync::Arc;

use async_std::sync::Mutex;
use indexmap::IndexMap;
use jm_types::DurationMs;

use crate::{FleetSecret, LinkError, PeerRequest, ReplyStream, connection::Connection};

/// Timeouts and heartbeat interval of a connection.
#[derive(Debug, Clone)]
pub struct LinkOptions {
    /// Maximum time for connecting and authenticating.
    pub connect_timeout_ms: DurationMs,
    /// Time without an outgoing message after which a side sends a ping.
    pub ping_interval_ms: DurationMs,
    /// Time without any message, including pongs, after which a side treats the connection as closed.
    pub heartbeat_timeout_ms: DurationMs,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            connect_timeout_ms: DurationMs::new(1_000),
            ping_interval_ms: DurationMs::new(1_000),
            heartbeat_timeout_ms: DurationMs::new(4_000),
        }
    }
}

type Slot = Arc<Mutex<Option<Arc<Connection>>>>;

/// Connections of one daemon to other daemons, one per address.
#[derive(Debug)]
pub struct LinkPool {
    secret: FleetSecret,
    options: LinkOptions,
    slots: std::sync::Mutex<IndexMap<String, Slot>>,
}

impl LinkPool {
    /// Creates a pool without connections. All of them authenticate with `secret`.
    pub fn new(secret: FleetSecret, options: LinkOptions) -> Self {
        Self {
            secret,
            options,
            slots: std::sync::Mutex::default(),
        }
    }

    /// Sends `request` to the daemon at `address`. Connects first when no connection is open. An error means that
    /// nothing was written.
    pub async fn call(&self, address: &str, request: PeerRequest) -> Result<ReplyStream, LinkError> {
        let connection = self.connection(address).await?;
        Ok(connection.call(request))
    }

    async fn connection(&self, address: &str) -> Result<Arc<Connection>, LinkError> {
        let slot = self.slot(address);
        // Holding the lock while connecting lets concurrent calls share one connection attempt.
        let mut open = slot.lock().await;
        if let Some(connection) = open.as_ref().filter(|connection| !connection.is_closed()) {
            return Ok(Arc::clone(connection));
        }
        let connection = Connection::open(address, &self.secret, &self.options).await?;
        *open = Some(Arc::clone(&connection));
        Ok(connection)
    }

    fn slot(&self, address: &str) -> Slot {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        Arc::clone(slots.entry(address.to_owned()).or_default())
    }
}
