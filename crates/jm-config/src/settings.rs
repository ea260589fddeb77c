//! Settings of one daemon process.

use std::{fmt, net::SocketAddr, str::FromStr};

use jm_http::{Limits, Url};
use jm_types::{DurationMs, MemberId, RegionId, TokenCount, ZoneId};
use log::LevelFilter;

use crate::{
    secret::{KeyHash, KeySecret},
    section::Team,
};

/// A duty that a daemon process performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Serves callers, trainers and operators.
    Entry,
    /// Owns targets.
    Dispatch,
    /// Holds leased duties.
    Control,
}

impl FromStr for Role {
    type Err = ();

    fn from_str(word: &str) -> Result<Self, ()> {
        match word {
            "entry" => Ok(Self::Entry),
            "dispatch" => Ok(Self::Dispatch),
            "control" => Ok(Self::Control),
            _ => Err(()),
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.section())
    }
}

impl Role {
    pub(crate) const fn section(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Dispatch => "dispatch",
            Self::Control => "control",
        }
    }
}

/// `[daemon]`: who the process is.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonSettings {
    /// The member id, the same after a restart.
    pub id: MemberId,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// The region of the host.
    pub region: RegionId,
    /// The duties of the process.
    pub roles: Vec<Role>,
    /// A folder for data that may be lost; absent on hosts without a disk.
    pub data_folder: Option<String>,
}

/// `[entry]`: addresses of the entry daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect and metrics are read.
    pub admin_listen: SocketAddr,
    /// The address that `/v1/addresses` names.
    pub advertised: SocketAddr,
    /// How long callers may keep an address answer, in seconds.
    pub keep_s: u64,
}

/// `[dispatch]`: addresses and bounds of the dispatch daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchSettings {
    /// Where other daemons connect.
    pub link_listen: SocketAddr,
    /// The address that other daemons are told.
    pub advertised: SocketAddr,
    /// Where metrics are read.
    pub admin_listen: SocketAddr,
    /// Most requests that wait for a target.
    pub queue_bound: u64,
    /// Most tokens in flight on a target that has no own bound.
    pub window_tokens: TokenCount,
}

/// `[control]`: addresses of the control daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlSettings {
    /// Where metrics are read.
    pub admin_listen: SocketAddr,
    /// Where other daemons connect.
    pub link_listen: SocketAddr,
    /// The address that other daemons are told.
    pub advertised: SocketAddr,
}

/// `[member]`: failure detection.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberSettings {
    /// The UDP address for probes.
    pub listen: SocketAddr,
    /// The UDP address that other daemons are told.
    pub advertised: SocketAddr,
    /// Time between two probes.
    pub probe_interval_ms: DurationMs,
}

/// `[platform]`: the platform's interfaces.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// The object API.
    pub object_url: Url,
    /// The host list.
    pub host_list_url: Url,
    /// The interface for ordering targets.
    pub targets_url: Url,
    /// The interface that accepts usage reports.
    pub usage_url: Url,
    /// The weight store.
    pub weights_url: Url,
}

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text.
    Pattern,
    /// One JSON object on a line.
    Json,
}

/// `[log]`: the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSettings {
    /// The least important level that is written.
    pub level: LevelFilter,
    /// The form of the lines.
    pub format: LogFormat,
    /// The file; the console when absent.
    pub file: Option<String>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            format: LogFormat::Pattern,
            file: None,
        }
    }
}

/// The secret that daemons prove to one another. `Debug` does not show it.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkSecret(String);

impl LinkSecret {
    /// The secret itself, as input of a message authentication code.
    pub fn expose(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for LinkSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkSecret(..)")
    }
}

impl FromStr for LinkSecret {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let valid = (32..=256).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic());
        valid.then(|| Self(text.to_owned())).ok_or(())
    }
}

/// `[link]`: connections between daemons.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkSettings {
    /// The secret of the fleet.
    pub secret: LinkSecret,
}

/// `[admin]`: hashes of the admin tokens. Without any, the admin API answers no operator.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AdminSettings {
    /// The token for all sections.
    pub token_sha256: Option<KeyHash>,
    /// The token of team sales.
    pub sales_token_sha256: Option<KeyHash>,
    /// The token of team workshop.
    pub workshop_token_sha256: Option<KeyHash>,
    /// The token of team software.
    pub software_token_sha256: Option<KeyHash>,
}

/// What the holder of an admin token may change. Every holder may read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminAccess {
    /// All sections.
    All,
    /// The sections of one team.
    Team(Team),
}

impl AdminAccess {
    /// The team for [`crate::Author`], which replaces the one that the operator sent.
    pub fn team(self) -> Option<Team> {
        match self {
            Self::All => None,
            Self::Team(team) => Some(team),
        }
    }
}

impl AdminSettings {
    /// What the holder of `token` may change; nothing for a token that is not known.
    pub fn access(&self, token: &KeySecret) -> Option<AdminAccess> {
        let known = [
            (self.token_sha256, AdminAccess::All),
            (self.sales_token_sha256, AdminAccess::Team(Team::Sales)),
            (self.workshop_token_sha256, AdminAccess::Team(Team::Workshop)),
            (self.software_token_sha256, AdminAccess::Team(Team::Software)),
        ];
        let hash = Some(token.hash());
        let found = known.into_iter().find(|(known, _)| *known == hash);
        found.map(|(_, access)| access)
    }
}

/// The settings of one daemon process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Who the process is.
    pub daemon: DaemonSettings,
    /// Present when the process has the role entry.
    pub entry: Option<EntrySettings>,
    /// Present when the process has the role dispatch.
    pub dispatch: Option<DispatchSettings>,
    /// Present when the process has the role control.
    pub control: Option<ControlSettings>,
    /// Failure detection.
    pub member: MemberSettings,
    /// The platform's interfaces.
    pub platform: PlatformSettings,
    /// Limits of HTTP servers and clients.
    pub limits: Limits,
    /// The log.
    pub log: LogSettings,
    /// Connections between daemons.
    pub link: LinkSettings,
    /// Hashes of the admin tokens.
    pub admin: AdminSettings,
}
