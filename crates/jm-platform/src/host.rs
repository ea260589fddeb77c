//! The platform's list of hosts. It lags behind the hosts' real state.

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::ReadError;

/// State of a host as the platform reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host will be taken away and must get no new work.
    Leaving,
}

/// One host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name that the platform gave to the host.
    pub id: String,
    /// Address of the process on the host.
    pub address: SocketAddr,
    /// Whether the host stays.
    pub state: HostState,
}

/// Access to the list of hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// All hosts, in the order of their ids.
    async fn hosts(&self) -> Result<Vec<Host>, ReadError>;
}
