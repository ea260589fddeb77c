//! Registrations and states of members.

use std::net::SocketAddr;

use jm_types::{Incarnation, MemberId, ZoneId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Role of a daemon in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Accepts requests from callers.
    Entry,
    /// Owns targets and forwards requests to them.
    Dispatch,
    /// Carries out control duties under leases.
    Control,
}

/// Registration of a daemon, stored as the value of `member/<id>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Id of the daemon, stable across restarts.
    pub id: MemberId,
    /// Role of the daemon.
    pub role: MemberRole,
    /// Availability zone of the daemon.
    pub zone: ZoneId,
    /// Address at which the daemon receives datagrams.
    pub address: SocketAddr,
    /// Number of the current run. Each restart uses a larger one.
    pub incarnation: Incarnation,
}

/// Orders the updates about one member. A restart or a refuted suspicion starts a later epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Incarnation, u32)", into = "(Incarnation, u32)")]
pub struct Epoch {
    /// Run of the member.
    pub incarnation: Incarnation,
    /// Number of updates that the member issued about itself in this run, to refute a suspicion or to announce that it
    /// is leaving.
    pub update_number: u32,
}

impl From<(Incarnation, u32)> for Epoch {
    fn from((incarnation, update_number): (Incarnation, u32)) -> Self {
        Self {
            incarnation,
            update_number,
        }
    }
}

impl From<Epoch> for (Incarnation, u32) {
    fn from(epoch: Epoch) -> Self {
        (epoch.incarnation, epoch.update_number)
    }
}

impl Epoch {
    /// Returns the first epoch of a run.
    pub const fn first(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            update_number: 0,
        }
    }

    pub(crate) const fn next(self) -> Self {
        Self {
            incarnation: self.incarnation,
            update_number: self.update_number.saturating_add(1),
        }
    }
}

/// State of a member. Of two updates with the same epoch, the one with the larger state takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    #[serde(rename = "a")]
    Alive,
    /// The member answers probes but is about to stop. It gets no new work.
    #[serde(rename = "l")]
    Leaving,
    /// The member did not answer a probe. It counts as failed unless it refutes the suspicion in time.
    #[serde(rename = "s")]
    Suspected,
    /// The member did not refute the suspicion in time.
    #[serde(rename = "f")]
    Failed,
}

impl MemberState {
    /// Returns `true` unless the member has failed.
    pub const fn is_live(self) -> bool {
        !matches!(self, Self::Failed)
    }
}

/// Returns the 16-bit hash that stands for a member or zone id in datagrams. Member hashes are resolved within one
/// zone. On a collision, contacts of the second id are not counted, which only makes a majority harder to reach.
pub(crate) fn short_id(text: &str) -> u16 {
    let digest = Sha256::digest(text.as_bytes());
    u16::from_be_bytes([digest[0], digest[1]])
}
