//! Members and their states.

use std::net::SocketAddr;

use jm_types::{Incarnation, MemberId, ZoneId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What a daemon does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Serves callers.
    Entry,
    /// Owns targets.
    Dispatch,
    /// Holds leased duties.
    Control,
}

/// Registration of a daemon: the value of `member/<id>` in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The daemon, stable across restarts.
    pub id: MemberId,
    /// What it does.
    pub role: MemberRole,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// This run of the daemon; a restart has a larger number.
    pub incarnation: Incarnation,
}

/// Order of statements about one member. A restart or a refuted suspicion makes a later epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Incarnation, u32)", into = "(Incarnation, u32)")]
pub struct Epoch {
    /// The run of the member.
    pub incarnation: Incarnation,
    /// Number of statements that the member itself made in this run, to refute a suspicion or to announce its leave.
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
    /// The first epoch of a run.
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

/// What is known about a member. Of two statements about the same epoch the larger state counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    #[serde(rename = "a")]
    Alive,
    /// It answers and is about to stop; it gets no new work.
    #[serde(rename = "l")]
    Leaving,
    /// It did not answer, and has a while to refute that.
    #[serde(rename = "s")]
    Suspected,
    /// It did not refute the suspicion.
    #[serde(rename = "f")]
    Failed,
}

impl MemberState {
    /// Whether the member may still be used.
    pub const fn is_live(self) -> bool {
        !matches!(self, Self::Failed)
    }
}

/// Short form of an id in datagrams, unique only within a zone, and for zones. Where two ids share one, the evidence of
/// the second is not counted, which only makes a majority harder to reach.
pub(crate) fn short_id(text: &str) -> u16 {
    let digest = Sha256::digest(text.as_bytes());
    u16::from_be_bytes([digest[0], digest[1]])
}
