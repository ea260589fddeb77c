//! Settings of one host in INI format. `docs/operators.md` lists the keys.

use std::{fmt, net::SocketAddr, path::Path, str::FromStr};

use ini::{Ini, Properties};
use jm_types::{ByteSize, DurationMs, MemberId, RegionId, ZoneId};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::CpuCapacity;

/// Addresses on which the host listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for callers that look up the addresses of hosts.
    pub addresses: SocketAddr,
    /// Address for calls of other hosts, over TCP.
    pub peers: SocketAddr,
    /// Address for the failure detector, over UDP.
    pub members: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
}

/// Time bounds set by the platform's operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoundSettings {
    /// Grace period of a stopping process before the platform kills it.
    pub grace_ms: DurationMs,
    /// Period within which the holder of a duty must not change back to an earlier holder.
    pub lease_ms: DurationMs,
    /// Length of a usage window.
    pub usage_window_ms: DurationMs,
    /// Time after its submission for which a batch can be read.
    pub batch_keep_ms: DurationMs,
    /// Time from the order to evacuate an availability zone until no host sends requests to it. `None` where the platform
    /// has no evacuations.
    pub evacuate_ms: Option<DurationMs>,
}

/// Memory of the machine if the settings do not contain it: that of the largest machines that hosts run on.
const DEFAULT_MEMORY: ByteSize = ByteSize::new(512_000_000);
/// Share of the machine's memory that all buffers may use, in percent. On the smallest machine (110 MB) it holds the
/// largest permitted body (33,554,432 bytes), and leaves as much for decoding and for the allocator as the buffers use.
const BUFFER_PERCENT: u64 = 35;

/// Limits of the machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// Memory of the machine.
    pub memory: ByteSize,
}

impl LimitSettings {
    /// Maximum size of all buffers together.
    pub fn buffers(&self) -> ByteSize {
        ByteSize::new(self.memory.get() / 100 * BUFFER_PERCENT)
    }
}

/// Settings of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// Identifier of this host.
    pub id: MemberId,
    /// Availability zone of this host.
    pub zone: ZoneId,
    /// Region of this host.
    pub region: RegionId,
    /// Processor time of this host; `None` if the settings do not state it.
    pub cpu: Option<CpuCapacity>,
    /// Listen addresses.
    pub listen: ListenSettings,
    /// Address that other hosts connect to. Differs from the listen address when ports are forwarded.
    pub announced_peers: SocketAddr,
    /// Hosts from which to bootstrap when the store does not answer at the start.
    pub seeds: Vec<SocketAddr>,
    /// Name of the deployment; hosts ignore datagrams of other deployments.
    pub fleet: String,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's interface for usage reports and target orders.
    pub duties: SocketAddr,
    /// Time bounds set by the platform.
    pub bounds: BoundSettings,
    /// Limits of the machine.
    pub limits: LimitSettings,
}

/// The settings are missing or invalid.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read the settings file {file}: {source}"))]
    ReadFile {
        /// Path of the file.
        file: String,
        /// I/O error.
        source: std::io::Error,
    },
    /// The text is not INI.
    #[snafu(display("the settings are not valid INI: {source}"))]
    Syntax {
        /// Parser error with its position.
        source: ini::ParseError,
    },
    /// A key is missing or empty.
    #[snafu(display("[{section}] {key} is missing"))]
    Missing {
        /// Section of the key.
        section: String,
        /// Name of the key.
        key: String,
    },
    /// A value cannot be parsed.
    #[snafu(display("[{section}] {key} = {value:?} cannot be used: {reason}"))]
    Invalid {
        /// Section of the key.
        section: String,
        /// Name of the key.
        key: String,
        /// Text of the value.
        value: String,
        /// Why the value is invalid.
        reason: String,
    },
}

impl HostSettings {
    /// Reads and parses a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, or when a setting is missing or invalid.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).context(ReadFileSnafu { file: name })?;
        Self::parse(&text)
    }

    /// Parses settings. Unknown sections and keys are ignored, because newer platforms add some.
    ///
    /// # Errors
    ///
    /// Fails when the text is not valid INI, or when a setting is missing or invalid.
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
            cpu: host.optional("cpu")?,
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
                // Without a name, the store address identifies the deployment: its hosts usually use the same
                // address.
                Err(_) => platform.text("store")?.to_owned(),
            },
            store: platform.value("store")?,
            duties: platform.value("duties")?,
            bounds: BoundSettings {
                grace_ms: bounds.duration("grace")?,
                lease_ms: bounds.duration("lease")?,
                usage_window_ms: bounds.duration("usage_window")?,
                batch_keep_ms: bounds.duration("batch_keep")?,
                evacuate_ms: bounds.optional("evacuate")?,
            },
            limits: LimitSettings {
                memory: Section::of(&ini, "limits").size_or("memory", DEFAULT_MEMORY)?,
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

    /// Parses the value of a key, taking it from `other` when this section does not contain it.
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

    /// Parses the value of a key; `None` when the key is missing or empty.
    fn optional<T: FromStr<Err: fmt::Display>>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        match self.text(key) {
            Ok(text) => self.parse(key, text).map(Some),
            Err(_) => Ok(None),
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

    /// Parses a comma-separated list; empty when the key is missing.
    fn list<T: FromStr<Err: fmt::Display>>(&self, key: &str) -> Result<Vec<T>, SettingsError> {
        let Ok(text) = self.text(key) else {
            return Ok(Vec::new());
        };
        text.split(',').map(|part| self.parse(key, part)).collect()
    }

    /// Parses a size with a unit, or returns `default` when the key is missing or empty. A platform may render a number
    /// of megabytes with a fraction.
    fn size_or(&self, key: &str, default: ByteSize) -> Result<ByteSize, SettingsError> {
        let Ok(text) = self.text(key) else {
            return Ok(default);
        };
        let megabytes = text
            .strip_suffix("MB")
            .and_then(|number| number.trim().parse::<f64>().ok());
        let size = match megabytes {
            Some(number) if number.is_finite() && number > 0.0 => ByteSize::new((number * 1e6) as u64),
            _ => self.parse(key, text)?,
        };
        match size.get() {
            0 => InvalidSnafu {
                section: self.name,
                key,
                value: text,
                reason: "the size is zero",
            }
            .fail(),
            _ => Ok(size),
        }
    }

    /// Parses a duration, which must have a unit.
    fn duration(&self, key: &str) -> Result<DurationMs, SettingsError> {
        self.value(key)
    }
}
