//! Settings of one host, in INI. `docs/operators.md` lists the keys.

use std::{fmt, net::SocketAddr, path::Path, str::FromStr};

use ini::{Ini, Properties};
use jm_types::{DurationMs, MemberId, RegionId, ZoneId};
use snafu::{OptionExt, ResultExt, Snafu};

/// Where the host listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For checks whether the host is ready.
    pub ready: SocketAddr,
    /// For callers that ask for addresses.
    pub addresses: SocketAddr,
    /// For the other hosts, over TCP.
    pub peers: SocketAddr,
    /// For the failure detector of the other hosts, over UDP.
    pub members: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Bounds that the platform's operators set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoundSettings {
    /// Time that a stopping process has before it is killed.
    pub grace_ms: DurationMs,
    /// Time for which two holders of a duty must not alternate.
    pub lease_ms: DurationMs,
    /// Length of a usage window.
    pub usage_window_ms: DurationMs,
    /// How long a batch can be read after its submission.
    pub batch_keep_ms: DurationMs,
}

/// Settings of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// This host.
    pub id: MemberId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where other hosts connect; differs from where this one listens behind a forwarded port.
    pub announced_peers: SocketAddr,
    /// Hosts to ask for the others when the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Name of the deployment; hosts ignore datagrams of other deployments.
    pub fleet: String,
    /// The platform's store.
    pub store: SocketAddr,
    /// The platform's interface for usage reports and target orders.
    pub duties: SocketAddr,
    /// Bounds of the platform.
    pub bounds: BoundSettings,
}

/// Settings that cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read the settings file {file}: {source}"))]
    ReadFile {
        /// Its path.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not INI.
    #[snafu(display("the settings are not valid INI: {source}"))]
    Syntax {
        /// The cause.
        source: ini::ParseError,
    },
    /// A key is missing or empty.
    #[snafu(display("[{section}] {key} is missing"))]
    Missing {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A value cannot be used.
    #[snafu(display("[{section}] {key} = {value:?} cannot be used: {reason}"))]
    Invalid {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl HostSettings {
    /// Reads the settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or a setting is missing or not valid.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).context(ReadFileSnafu { file: name })?;
        Self::parse(&text)
    }

    /// Reads settings from their text. Unknown sections and keys are left out, because newer platforms add some.
    ///
    /// # Errors
    ///
    /// Fails when a setting is missing or not valid.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str(text).context(SyntaxSnafu)?;
        let host = Section::of(&ini, "host");
        let listen = Section::of(&ini, "listen");
        let platform = Section::of(&ini, "platform");
        let bounds = Section::of(&ini, "bounds");
        let announce = Section::of(&ini, "announce");
        Ok(Self {
            id: host.value("id")?,
            zone: host.value("zone")?,
            region: host.value("region")?,
            listen: ListenSettings {
                callers: listen.value("callers")?,
                ready: listen.value("ready")?,
                addresses: listen.value("addresses")?,
                peers: listen.value("peers")?,
                members: listen.value("members")?,
                metrics: listen.value("metrics")?,
            },
            announced_peers: announce.value_or(&listen, "peers")?,
            seeds: platform.list("seeds")?,
            fleet: match platform.text("fleet") {
                Ok(name) => name.to_owned(),
                // Hosts of one deployment usually reach the store by the same address.
                Err(_) => platform.text("store")?.to_owned(),
            },
            store: platform.value("store")?,
            duties: platform.value("duties")?,
            bounds: BoundSettings {
                grace_ms: bounds.duration("grace")?,
                lease_ms: bounds.duration("lease")?,
                usage_window_ms: bounds.duration("usage_window")?,
                batch_keep_ms: bounds.duration("batch_keep")?,
            },
        })
    }
}

struct Section<'a> {
    name: &'static str,
    properties: Option<&'a Properties>,
}

impl<'a> Section<'a> {
    fn of(ini: &'a Ini, name: &'static str) -> Self {
        Self {
            name,
            properties: ini.section(Some(name)),
        }
    }

    fn text(&self, key: &str) -> Result<&'a str, SettingsError> {
        let value = self.properties.and_then(|properties| properties.get(key));
        let missing = MissingSnafu {
            section: self.name,
            key,
        };
        value
            .map(str::trim)
            .filter(|value| !value.is_empty())
            .context(missing)
    }

    fn value<T: FromStr<Err: fmt::Display>>(&self, key: &str) -> Result<T, SettingsError> {
        let text = self.text(key)?;
        self.parse(key, text)
    }

    /// The value of a key that may be missing here; it is the one of another section then.
    fn value_or<T: FromStr<Err: fmt::Display>>(
        &self,
        other: &Section<'_>,
        key: &str,
    ) -> Result<T, SettingsError> {
        match self.text(key) {
            Ok(text) => self.parse(key, text),
            Err(_) => other.value(key),
        }
    }

    fn parse<T: FromStr<Err: fmt::Display>>(&self, key: &str, text: &str) -> Result<T, SettingsError> {
        text.trim()
            .parse()
            .map_err(|error: T::Err| SettingsError::Invalid {
                section: self.name.to_owned(),
                key: key.to_owned(),
                value: text.to_owned(),
                reason: error.to_string(),
            })
    }

    /// A comma-separated list; may be missing.
    fn list<T: FromStr<Err: fmt::Display>>(&self, key: &str) -> Result<Vec<T>, SettingsError> {
        let Ok(text) = self.text(key) else {
            return Ok(Vec::new());
        };
        text.split(',').map(|part| self.parse(key, part)).collect()
    }

    /// A duration with its unit.
    fn duration(&self, key: &str) -> Result<DurationMs, SettingsError> {
        self.value(key)
    }
}
