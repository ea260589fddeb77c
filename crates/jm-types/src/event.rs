//! Numbered log events, listed in `docs/log-events.md`. A test holds that catalogue against this list.

use std::fmt;

use log::kv::{ToValue, Value};

macro_rules! log_events {
    ($($(#[$doc:meta])+ $name:ident = $number:literal, $level:ident;)+) => {
        /// A numbered log event. Write one with [`LogEvent::write`].
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum LogEvent {
            $($(#[$doc])+ $name = $number,)+
        }

        impl LogEvent {
            /// Every event in the order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// The name as it stands in the catalogue in docs/.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }

            /// The level at which the event is written.
            pub const fn level(self) -> log::Level {
                match self { $(Self::$name => log::Level::$level,)+ }
            }
        }
    };
}

log_events! {
    /// A daemon has read its settings and is starting.
    DaemonStarting = 1001, Info;
    /// A daemon serves requests.
    DaemonReady = 1002, Info;
    /// A daemon received a stop signal and is finishing open requests.
    DaemonStopping = 1003, Info;
    /// A daemon has finished its open requests and exits.
    DaemonStopped = 1004, Info;
    /// A daemon cannot start.
    DaemonFailed = 1005, Error;
    /// A connection ended with an error.
    ConnectionFailed = 1101, Debug;
    /// A request was refused.
    RequestRefused = 1102, Info;
    /// A request failed after it was given to a target.
    RequestFailed = 1103, Warn;
    /// A request is tried again on another target or dispatch daemon.
    RequestRetried = 1104, Info;
    /// A request was answered by a target.
    RequestServed = 1105, Info;
    /// A request runs on a second target because the first one is slow.
    RequestHedged = 1106, Info;
    /// Lines were left out of the log because there were too many of one event.
    LogLinesLeftOut = 1201, Warn;
    /// The settings file was read again.
    SettingsReloaded = 1202, Info;
    /// A configuration revision came into force on this daemon.
    ConfigApplied = 2001, Info;
    /// A stored configuration change cannot be read; the daemon keeps the revision that it has.
    ConfigUnreadable = 2002, Error;
    /// The daemon cannot tell whether its configuration is current and refuses keyed requests.
    FreshnessLost = 2003, Warn;
    /// The daemon's configuration is known to be current again.
    FreshnessRegained = 2004, Info;
    /// A snapshot of the configuration was written.
    SnapshotWritten = 2005, Info;
    /// Old registrations, changes or snapshots could not be tidied up; it is tried again.
    UpkeepFailed = 2006, Warn;
    /// The object API does not answer.
    StoreUnavailable = 2101, Warn;
    /// The object API answers again.
    StoreAvailable = 2102, Info;
    /// A lease was acquired.
    LeaseAcquired = 3001, Info;
    /// A lease was lost or lapsed.
    LeaseLost = 3002, Warn;
    /// A leased duty works again after failed rounds.
    DutyRecovered = 3003, Info;
    /// The holder of the lease of the shared duties became known.
    LeaseHolderSeen = 3004, Info;
    /// A member is suspected to have failed.
    MemberSuspected = 3101, Info;
    /// A member has failed.
    MemberFailed = 3102, Warn;
    /// A member has joined or is alive again.
    MemberAlive = 3103, Info;
    /// The registration of a member that has not answered for ten minutes was removed.
    MemberRemoved = 3104, Info;
    /// A host that was to be emptied keeps nothing any more.
    HostEmptied = 3105, Info;
    /// A target is slow or failing and gets less work.
    TargetDegraded = 4001, Warn;
    /// A target recovered.
    TargetRecovered = 4002, Info;
    /// A target is leaving and gets no new work.
    TargetLeaving = 4003, Info;
    /// A target is listed as serving, for the first time or again.
    TargetListed = 4004, Info;
    /// An order to a target or to the platform was refused or failed.
    OrderFailed = 4101, Warn;
    /// A weight version was ordered on a target.
    WeightsOrdered = 4102, Info;
    /// A service has fewer targets than its demand needs, and the zones offer no more.
    CapacityShort = 4103, Warn;
    /// All engines of a zone report a new weight version.
    WeightsLoaded = 4104, Info;
    /// A trainer named a version of its weights.
    VersionNamed = 4105, Info;
    /// One engine has new weights.
    EngineLoaded = 4106, Info;
    /// Targets were ordered in place of lost ones.
    TargetsOrdered = 4107, Info;
    /// A step was created.
    StepCreated = 5001, Info;
    /// A step's samples are all delivered and acknowledged.
    StepFinished = 5002, Info;
    /// A draft was issued a second time.
    DraftReissued = 5003, Info;
    /// A sample was dropped because its version is missing or too old.
    SampleUnusable = 5004, Warn;
    /// A step was taken over from another dispatch daemon.
    StepTakenOver = 5005, Warn;
    /// A binding has no second copy.
    BindingDegraded = 5006, Warn;
    /// A batch was stored and accepted.
    BatchAccepted = 5101, Info;
    /// A batch was not accepted.
    BatchRefused = 5102, Info;
    /// This host runs a batch that another run of a host began.
    BatchTakenOver = 5103, Info;
    /// Another host runs a batch that this one ran.
    BatchGivenUp = 5104, Info;
    /// All results of a batch are listed.
    BatchFinished = 5105, Info;
    /// The submitter ended a batch.
    BatchEnded = 5106, Info;
    /// A run of an item ended without its whole text.
    ItemRunFailed = 5107, Info;
    /// An item was given up.
    ItemExpired = 5108, Warn;
    /// The store did not take or give an object of a batch.
    BatchStoreFailed = 5109, Warn;
    /// A batch could not be read or ended for a caller.
    BatchNotRead = 5110, Info;
    /// Items of a batch wait for engines.
    BatchWaits = 5111, Info;
    /// An item goes on at a faster engine.
    ItemMoved = 5112, Info;
    /// A batch has items of earlier batches.
    BatchCarriedOver = 5113, Info;
    /// A usage window was sealed.
    WindowSealed = 6001, Info;
    /// A usage window was reported and acknowledged.
    WindowReported = 6002, Info;
    /// A usage window could not be sealed or reported; it is tried again.
    WindowDelayed = 6003, Warn;
    /// The platform holds another report for a usage window than the sealed one; the platform's stands.
    ReportDisputed = 6004, Error;
}

impl LogEvent {
    /// The stable number.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Writes the event to the log with its number and a message that names the objects concerned.
    pub fn write(self, message: impl fmt::Display) {
        log::log!(target: "jacinthmoor", self.level(), "{self} {}: {message}", self.name());
    }

    /// Writes the event with fields of its own beside the message, for logs that are searched by field.
    pub fn write_fields(self, message: impl fmt::Display, fields: &[(&str, &dyn ToValue)]) {
        if self.level() > log::max_level() {
            return;
        }
        let number = self.to_string();
        let mut all: Vec<(&str, Value<'_>)> = vec![
            ("event", Value::from(number.as_str())),
            ("name", Value::from(self.name())),
        ];
        all.extend(fields.iter().map(|(key, value)| (*key, value.to_value())));
        let fields: &[(&str, Value<'_>)] = &all;
        log::logger().log(
            &log::Record::builder()
                .target("jacinthmoor")
                .level(self.level())
                .key_values(&fields)
                .args(format_args!("{message}"))
                .build(),
        );
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{}", self.number())
    }
}
