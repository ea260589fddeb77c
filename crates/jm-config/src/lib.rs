//! Daemon settings, the operators' document and its change log. Section 4.1 of `docs/design.md` describes them.
//!
//! This crate performs no I/O. Callers pass texts, changes and random bytes as arguments.

#![deny(missing_docs, unsafe_code)]

mod active;
mod change;
mod change_log;
mod diff;
mod document;
mod entity;
mod error;
mod path;
mod read;
mod reference;
mod scan;
mod secret;
mod section;
mod settings;
mod settings_read;
mod view;

pub use active::ActiveConfig;
pub use change::{Author, Change, ChangeId, Edit, EditsDigest, ParseChangeIdError};
pub use change_log::{
    AcceptedChange, ApplyError, ChangeLog, ChangeOutcome, ChangeRefused, RETAINED_CHANGE_IDS, SectionState,
    Snapshot,
};
pub use diff::diff;
pub use document::Document;
pub use entity::{
    AllowedOrganisations, Capacity, Key, MethodFilter, Objective, Organisation, Route, Service,
    ServiceAccess, ServiceKind, Sharing, Target, TargetKind, TargetState, Training, Zone,
};
pub use error::{ConfigError, ConfigErrors};
pub use path::{ParsePathError, PathPrefix};
pub use secret::{KEY_SECRET_BYTES, KeyHash, KeySecret, ParseKeyHashError};
pub use section::{ParseSectionError, SectionBody, SectionKind, SectionName, Team};
pub use settings::{
    AdminAccess, AdminSettings, ControlSettings, DaemonSettings, DispatchSettings, EntrySettings, LinkSecret,
    LinkSettings, LogFormat, LogSettings, MemberSettings, PlatformSettings, Role, Settings,
};
pub use view::{ChangeAccepted, ConfigView, HistoryEntry, SectionView};
