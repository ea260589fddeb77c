//! The platform's list of hosts. It may lag behind the actual state of the hosts.

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
    /// The platform will withdraw the host. It must not receive new work.
    Leaving,
}

/// A host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Id assigned by the platform.
    pub id: String,
    /// Address of the daemon process on the host.
    pub address: SocketAddr,
    /// Whether the host stays in service.
    pub state: HostState,
}

/// API for reading the list of hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns all hosts, sorted by id.
    async fn hosts(&self) -> Result<Vec<Host>, ReadError>;
}
