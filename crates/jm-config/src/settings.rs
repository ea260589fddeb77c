//! The settings of one daemon process.

use std::{fmt, net::SocketAddr, str::FromStr};

use jm_http::{Limits, Url};
use jm_types::{DurationMs, MemberId, RegionId, TokenCount, ZoneId};
use log::LevelFilter;

use crate::{
    secret::{KeyHash, KeySecret},
    section::Team,
};

/// A role of a daemon process. A process may have several roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Serves callers, trainers and operators.
    Entry,
    /// Owns targets and sends requests to them.
    Dispatch,
    /// Performs the duties that require a lease, each at one daemon at a time.
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

/// `[daemon]`: identity and roles of the process.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonSettings {
    /// The member id, which is stable across restarts.
    pub id: MemberId,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// The region of the host.
    pub region: RegionId,
    /// The roles of the process.
    pub roles: Vec<Role>,
    /// Folder for data that may be lost; `None` on hosts without a disk.
    pub data_folder: Option<String>,
}

/// `[entry]`: addresses of the entry daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// The address on which the daemon accepts callers.
    pub listen: SocketAddr,
    /// The address of the admin API and of the health and metrics endpoints.
    pub admin_listen: SocketAddr,
    /// The address that `/v1/addresses` returns to callers.
    pub advertised: SocketAddr,
    /// How long callers may cache a response of `/v1/addresses`, in seconds.
    pub keep_s: u64,
}

/// `[dispatch]`: addresses and bounds of the dispatch daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchSettings {
    /// The address on which the daemon accepts links from other daemons.
    pub link_listen: SocketAddr,
    /// The address that the daemon registers for links from other daemons.
    pub advertised: SocketAddr,
    /// The address of the health and metrics endpoints.
    pub admin_listen: SocketAddr,
    /// Maximum number of requests that wait for a target.
    pub queue_bound: u64,
    /// Maximum number of tokens in flight on a target whose section sets no limit.
    pub window_tokens: TokenCount,
}

/// `[control]`: addresses of the control daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlSettings {
    /// The address of the health and metrics endpoints.
    pub admin_listen: SocketAddr,
    /// The address on which the daemon accepts links from other daemons.
    pub link_listen: SocketAddr,
    /// The address that the daemon registers for links from other daemons.
    pub advertised: SocketAddr,
}

/// `[member]`: failure detection.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberSettings {
    /// The UDP address for probes.
    pub listen: SocketAddr,
    /// The UDP address that is announced to other daemons.
    pub advertised: SocketAddr,
    /// Interval between probes.
    pub probe_interval_ms: DurationMs,
}

/// `[platform]`: URLs of the interfaces of the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// URL of the object API.
    pub object_url: Url,
    /// URL of the host list.
    pub host_list_url: Url,
    /// URL of the interface for ordering targets.
    pub targets_url: Url,
    /// URL of the interface that accepts usage reports.
    pub usage_url: Url,
    /// URL of the weight store.
    pub weights_url: Url,
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text, one line per event.
    Pattern,
    /// One JSON object per line.
    Json,
}

/// `[log]`: level, format and destination of the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: LevelFilter,
    /// The format of the lines.
    pub format: LogFormat,
    /// The log file. `None` means standard error.
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

/// The shared secret with which daemons authenticate each other. `Debug` hides the secret.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkSecret(String);

impl LinkSecret {
    /// The secret in plain text, as the key of a message authentication code.
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
    /// The secret that all daemons of the fleet share.
    pub secret: LinkSecret,
}

/// `[admin]`: hashes of the admin tokens. If no hash is set, the admin API refuses all operators.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AdminSettings {
    /// Hash of the token that allows changes to all sections.
    pub token_sha256: Option<KeyHash>,
    /// Hash of the token of team sales.
    pub sales_token_sha256: Option<KeyHash>,
    /// Hash of the token of team workshop.
    pub workshop_token_sha256: Option<KeyHash>,
    /// Hash of the token of team software.
    pub software_token_sha256: Option<KeyHash>,
}

/// The sections that the holder of an admin token may change. Every holder may read all sections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminAccess {
    /// All sections.
    All,
    /// The sections of one team.
    Team(Team),
}

impl AdminAccess {
    /// The team to set in [`crate::Author`], in place of the team that the operator sent. `None` means all sections.
    pub fn team(self) -> Option<Team> {
        match self {
            Self::All => None,
            Self::Team(team) => Some(team),
        }
    }
}

impl AdminSettings {
    /// The access that `token` grants; `None` when the token is unknown.
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
    /// Identity and roles of the process.
    pub daemon: DaemonSettings,
    /// `Some` if and only if the process has the role entry.
    pub entry: Option<EntrySettings>,
    /// `Some` if and only if the process has the role dispatch.
    pub dispatch: Option<DispatchSettings>,
    /// `Some` if and only if the process has the role control.
    pub control: Option<ControlSettings>,
    /// Failure detection.
    pub member: MemberSettings,
    /// URLs of the interfaces of the platform.
    pub platform: PlatformSettings,
    /// Limits of HTTP servers and clients.
    pub limits: Limits,
    /// Level, format and destination of the log.
    pub log: LogSettings,
    /// Connections between daemons.
    pub link: LinkSettings,
    /// Hashes of the admin tokens.
    pub admin: AdminSettings,
}
