//! Parsing of the settings, section by section.

use jm_http::{Limits, Url};
use jm_types::{DurationMs, ResultCode, TokenCount};
use log::LevelFilter;

use crate::{
    error::{ConfigErrors, ErrorCollector},
    read::{ADDRESS, Bounded, ID, SectionReader},
    scan::{RawSection, scan},
    settings::{
        AdminSettings, ControlSettings, DaemonSettings, DispatchSettings, EntrySettings, LinkSettings,
        LogFormat, LogSettings, MemberSettings, PlatformSettings, Role, Settings,
    },
};

const ROLES: &str = "entry, dispatch, control, separated by commas";
const FILE: &str = "a file name";
const URL: &str = "a URL such as http://10.0.0.1:9000/ with a host and without a query";
const LEVEL: &str = "off, error, warn, info, debug, trace";
const HASH: &str = "the SHA-256 hash of the token as 64 hexadecimal digits";
const SECRET: &str = "32 to 256 printable ASCII characters without spaces";

const MAX_TIMEOUT_MS: u64 = 3_600_000;
const MAX_BODY_BYTES: u64 = 1_000_000_000;
const MAX_BUFFERED_BYTES: u64 = 100_000_000_000;
const MAX_QUEUE: u64 = 1_000_000;
const MAX_WINDOW_TOKENS: u64 = 100_000_000;

const DEFAULT_KEEP_S: u64 = 5;
const DEFAULT_QUEUE_BOUND: u64 = 10_000;
const DEFAULT_WINDOW_TOKENS: TokenCount = TokenCount::new(32_768);
const DEFAULT_PROBE_INTERVAL: DurationMs = DurationMs::new(500);

const SECTIONS: &[&str] = &[
    "daemon", "entry", "dispatch", "control", "member", "platform", "limits", "log", "link", "admin",
];

impl Settings {
    /// Parses and checks the settings. Returns all errors of the text together. `file_name` is used only in error
    /// messages.
    ///
    /// # Errors
    ///
    /// Fails when a line, section, key or value is invalid, duplicate, missing or out of range.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, ConfigErrors> {
        let mut errors = ErrorCollector::new(file_name);
        let raw = scan(text, &mut errors);
        let mut sections = Sections {
            sections: &raw,
            errors: &mut errors,
        };
        sections.reject_unknown();
        let settings = sections.read_all();
        errors.finish(settings)
    }
}

struct Sections<'a> {
    sections: &'a [RawSection],
    errors: &'a mut ErrorCollector,
}

impl Sections<'_> {
    fn reject_unknown(&mut self) {
        for section in self.sections {
            if !SECTIONS.contains(&section.name.as_str()) {
                let message = format!("unknown section {:?}", section.name);
                let allowed = SECTIONS.join(", ");
                self.errors
                    .add(section.line, ResultCode::UnknownSection, message, allowed);
            }
        }
    }

    fn read_all(&mut self) -> Option<Settings> {
        let daemon = self.required("daemon", DaemonSettings::read);
        let roles = daemon.as_ref().map_or(&[][..], |daemon| &daemon.roles);
        let entry = self.for_role(roles, Role::Entry, EntrySettings::read);
        let dispatch = self.for_role(roles, Role::Dispatch, DispatchSettings::read);
        let control = self.for_role(roles, Role::Control, ControlSettings::read);
        let member = self.required("member", MemberSettings::read);
        let platform = self.required("platform", PlatformSettings::read);
        let limits = self.optional("limits", read_limits).unwrap_or_default();
        let log = self.optional("log", LogSettings::read);
        let link = self.required("link", LinkSettings::read);
        let admin = self.optional("admin", AdminSettings::read).unwrap_or_default();
        Some(Settings {
            daemon: daemon?,
            entry,
            dispatch,
            control,
            member: member?,
            platform: platform?,
            limits,
            log: log.unwrap_or_default(),
            link: link?,
            admin,
        })
    }

    fn optional<T>(
        &mut self,
        name: &str,
        read: impl FnOnce(&mut SectionReader<'_>) -> Option<T>,
    ) -> Option<T> {
        let section = self.sections.iter().find(|section| section.name == name)?;
        let mut reader = SectionReader::new(section, self.errors);
        let value = read(&mut reader);
        reader.finish();
        value
    }

    fn required<T>(
        &mut self,
        name: &str,
        read: impl FnOnce(&mut SectionReader<'_>) -> Option<T>,
    ) -> Option<T> {
        if !self.sections.iter().any(|section| section.name == name) {
            let message = format!("section {name:?} is missing");
            let allowed = format!("a section [{name}]");
            self.errors.add(1, ResultCode::MissingSetting, message, allowed);
        }
        self.optional(name, read)
    }

    /// Parses the section of a role. Checks it even if the process does not have the role, but then returns `None`.
    fn for_role<T>(
        &mut self,
        roles: &[Role],
        role: Role,
        read: impl FnOnce(&mut SectionReader<'_>) -> Option<T>,
    ) -> Option<T> {
        if roles.contains(&role) {
            self.required(role.section(), read)
        } else {
            self.optional(role.section(), read);
            None
        }
    }
}

impl DaemonSettings {
    fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let id = reader.required("id", ID);
        let zone = reader.required("zone", ID);
        let region = reader.required("region", ID);
        let roles = reader.required_list("roles", ROLES);
        let data_folder = reader.optional("data_folder", FILE);
        Some(Self {
            id: id?,
            zone: zone?,
            region: region?,
            roles: roles?,
            data_folder,
        })
    }
}

impl EntrySettings {
    fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let listen = reader.required("listen", ADDRESS);
        let admin_listen = reader.required("admin_listen", ADDRESS);
        let advertised = reader.required_reachable_address("advertised");
        let keep_s = reader.bounded("keep_s", 1, 300).unwrap_or(DEFAULT_KEEP_S);
        Some(Self {
            listen: listen?,
            admin_listen: admin_listen?,
            advertised: advertised?,
            keep_s,
        })
    }
}

impl DispatchSettings {
    fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let link_listen = reader.required("link_listen", ADDRESS);
        let advertised = reader.required_reachable_address("advertised");
        let admin_listen = reader.required("admin_listen", ADDRESS);
        let queue_bound = reader.bounded("queue_bound", 1, MAX_QUEUE);
        let window_tokens = reader.bounded("window_tokens", 1, MAX_WINDOW_TOKENS);
        Some(Self {
            link_listen: link_listen?,
            advertised: advertised?,
            admin_listen: admin_listen?,
            queue_bound: queue_bound.unwrap_or(DEFAULT_QUEUE_BOUND),
            window_tokens: window_tokens.unwrap_or(DEFAULT_WINDOW_TOKENS),
        })
    }
}

impl ControlSettings {
    fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let admin_listen = reader.required("admin_listen", ADDRESS);
        let link_listen = reader.required("link_listen", ADDRESS);
        let advertised = reader.required_reachable_address("advertised");
        Some(Self {
            admin_listen: admin_listen?,
            link_listen: link_listen?,
            advertised: advertised?,
        })
    }
}

impl MemberSettings {
    fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let listen = reader.required("listen", ADDRESS);
        let advertised = reader.required_reachable_address("advertised");
        let probe_interval_ms = reader.bounded("probe_interval", 50, 60_000);
        Some(Self {
            listen: listen?,
            advertised: advertised?,
            probe_interval_ms: probe_interval_ms.unwrap_or(DEFAULT_PROBE_INTERVAL),
        })
    }
}

impl PlatformSettings {
    fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let object_url = read_url(reader, "object_url");
        let host_list_url = read_url(reader, "host_list_url");
        let targets_url = read_url(reader, "targets_url");
        let usage_url = read_url(reader, "usage_url");
        let weights_url = read_url(reader, "weights_url");
        Some(Self {
            object_url: object_url?,
            host_list_url: host_list_url?,
            targets_url: targets_url?,
            usage_url: usage_url?,
            weights_url: weights_url?,
        })
    }
}

fn read_url(reader: &mut SectionReader<'_>, key: &'static str) -> Option<Url> {
    let url: Url = reader.required(key, URL)?;
    let valid = url.scheme() == "http" && url.has_host() && url.query().is_none() && url.fragment().is_none();
    if !valid {
        let message = format!("invalid value {:?} for key {key:?}", url.as_str());
        reader.add_error(key, ResultCode::BadValue, message, URL);
    }
    valid.then_some(url)
}

impl LogSettings {
    fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let level = reader.optional("level", LEVEL).unwrap_or(LevelFilter::Info);
        let formats = [("pattern", LogFormat::Pattern), ("json", LogFormat::Json)];
        let format = reader.word("format", &formats).unwrap_or(LogFormat::Pattern);
        let file = reader.optional("file", FILE);
        Some(Self { level, format, file })
    }
}

impl LinkSettings {
    fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let secret = reader.required_secret("secret", SECRET);
        Some(Self { secret: secret? })
    }
}

impl AdminSettings {
    fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        Some(Self {
            token_sha256: reader.optional_secret("token_sha256", HASH),
            sales_token_sha256: reader.optional_secret("sales_token_sha256", HASH),
            workshop_token_sha256: reader.optional_secret("workshop_token_sha256", HASH),
            software_token_sha256: reader.optional_secret("software_token_sha256", HASH),
        })
    }
}

fn read_limits(reader: &mut SectionReader<'_>) -> Option<Limits> {
    let mut limits = Limits::default();
    set(reader, "head_bytes", 256, 1_000_000, &mut limits.head_bytes);
    set(reader, "body_bytes", 1, MAX_BODY_BYTES, &mut limits.body_bytes);
    set(
        reader,
        "buffered_bytes",
        1,
        MAX_BUFFERED_BYTES,
        &mut limits.buffered_bytes,
    );
    set(
        reader,
        "head_timeout",
        1,
        MAX_TIMEOUT_MS,
        &mut limits.head_timeout_ms,
    );
    set(
        reader,
        "body_timeout",
        1,
        MAX_TIMEOUT_MS,
        &mut limits.body_timeout_ms,
    );
    set(
        reader,
        "idle_timeout",
        1,
        MAX_TIMEOUT_MS,
        &mut limits.idle_timeout_ms,
    );
    set(
        reader,
        "connect_timeout",
        1,
        MAX_TIMEOUT_MS,
        &mut limits.connect_timeout_ms,
    );
    set(
        reader,
        "answer_timeout",
        1,
        MAX_TIMEOUT_MS,
        &mut limits.answer_timeout_ms,
    );
    let connections: Option<u64> = reader.bounded("connections", 1, 1_000_000);
    if let Some(connections) = connections.and_then(|number| usize::try_from(number).ok()) {
        limits.connections = connections;
    }
    Some(limits)
}

fn set<T: Bounded>(reader: &mut SectionReader<'_>, key: &'static str, min: u64, max: u64, field: &mut T) {
    if let Some(value) = reader.bounded(key, min, max) {
        *field = value;
    }
}
