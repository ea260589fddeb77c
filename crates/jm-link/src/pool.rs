//! Connections to other daemons, opened on demand and shared by all calls to the same address.

use std::sync::Arc;

use async_std::sync::Mutex;
use indexmap::IndexMap;
use jm_types::DurationMs;

use crate::{FleetSecret, LinkError, PeerRequest, ReplyStream, connection::Connection};

/// Times of a connection.
#[derive(Debug, Clone)]
pub struct LinkOptions {
    /// Longest time to connect and prove the secret.
    pub connect_timeout_ms: DurationMs,
    /// Time without traffic after which a ping is sent.
    pub ping_interval_ms: DurationMs,
    /// Time without any message, pongs included, after which the connection counts as closed.
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

/// The connections of one daemon to others.
#[derive(Debug)]
pub struct LinkPool {
    secret: FleetSecret,
    options: LinkOptions,
    slots: std::sync::Mutex<IndexMap<String, Slot>>,
}

impl LinkPool {
    /// An empty pool.
    pub fn new(secret: FleetSecret, options: LinkOptions) -> Self {
        Self {
            secret,
            options,
            slots: std::sync::Mutex::default(),
        }
    }

    /// Sends `request` to the daemon at `address`. Connects first when no connection is open; an error here means
    /// that nothing was written.
    pub async fn call(&self, address: &str, request: PeerRequest) -> Result<ReplyStream, LinkError> {
        let connection = self.connection(address).await?;
        Ok(connection.call(request))
    }

    async fn connection(&self, address: &str) -> Result<Arc<Connection>, LinkError> {
        let slot = self.slot(address);
        // The lock is held while connecting, so that concurrent calls share one attempt.
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
