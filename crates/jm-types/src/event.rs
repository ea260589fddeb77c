//! Numbered log events, listed in `docs/log-events.md`. A test compares that table with this list.

use std::fmt;

use log::kv::{ToValue, Value};

macro_rules! log_events {
    ($($(#[$doc:meta])+ $name:ident = $number:literal, $level:ident;)+) => {
        /// A numbered log event. The number is stable. [`LogEvent::write`] logs the event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum LogEvent {
            $($(#[$doc])+ $name = $number,)+
        }

        impl LogEvent {
            /// Every event, in ascending order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// The name of the variant, as listed in `docs/log-events.md`.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }

            /// The level at which the event is logged.
            pub const fn level(self) -> log::Level {
                match self { $(Self::$name => log::Level::$level,)+ }
            }
        }
    };
}

log_events! {
    /// A daemon has read its settings and is starting.
    DaemonStarting = 1001, Info;
    /// A daemon is ready to serve requests.
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
    /// A request failed after it was sent to a target.
    RequestFailed = 1103, Warn;
    /// A request is retried on another target or dispatch daemon.
    RequestRetried = 1104, Info;
    /// A request was answered by a target.
    RequestServed = 1105, Info;
    /// A request was hedged: it also runs on a second target because the first target is slow.
    RequestHedged = 1106, Info;
    /// The buffers of the process exceed their memory budget, and a body or a connection was rejected.
    BufferRejected = 1107, Warn;
    /// A caller took a stream up again.
    StreamResumed = 1108, Info;
    /// Log lines were dropped because one event exceeded its rate limit.
    LogLinesLeftOut = 1201, Warn;
    /// The settings file was reloaded.
    SettingsReloaded = 1202, Info;
    /// This daemon applied a configuration revision.
    ConfigApplied = 2001, Info;
    /// A stored configuration change cannot be read. The daemon keeps its current revision.
    ConfigUnreadable = 2002, Error;
    /// The daemon cannot verify that its configuration is current and refuses keyed requests.
    FreshnessLost = 2003, Warn;
    /// The daemon has verified again that its configuration is current.
    FreshnessRegained = 2004, Info;
    /// A snapshot of the configuration was written.
    SnapshotWritten = 2005, Info;
    /// Old registrations, changes or snapshots could not be deleted. The daemon retries the deletion.
    UpkeepFailed = 2006, Warn;
    /// The object API does not respond.
    StoreUnavailable = 2101, Warn;
    /// The object API responds again.
    StoreAvailable = 2102, Info;
    /// The store answers a listing in a way that makes it unusable. The listing has no effect.
    ListingFaulty = 2103, Warn;
    /// A lease was acquired.
    LeaseAcquired = 3001, Info;
    /// A lease was lost or expired.
    LeaseLost = 3002, Warn;
    /// A leased duty succeeded again after failed runs.
    DutyRecovered = 3003, Info;
    /// The holder of the lease for the shared duties was observed.
    LeaseHolderSeen = 3004, Info;
    /// The failure detector suspects a member.
    MemberSuspected = 3101, Info;
    /// The failure detector presumes that a member has failed.
    MemberFailed = 3102, Warn;
    /// A member has joined or is alive again.
    MemberAlive = 3103, Info;
    /// The registration of a member that has not responded for ten minutes was removed.
    MemberRemoved = 3104, Info;
    /// A host that is being drained holds no state any more.
    HostEmptied = 3105, Info;
    /// A target is slow or failing and receives fewer requests.
    TargetDegraded = 4001, Warn;
    /// A target recovered.
    TargetRecovered = 4002, Info;
    /// A target is leaving and receives no new requests.
    TargetLeaving = 4003, Info;
    /// A target is listed as serving, for the first time or again.
    TargetListed = 4004, Info;
    /// The evacuation of an availability zone began on this host.
    ZoneEvacuated = 4005, Warn;
    /// The evacuation of an availability zone ended on this host.
    ZoneReturned = 4006, Info;
    /// A target is listed in an evacuated zone and receives no new requests.
    TargetEvacuated = 4007, Info;
    /// A software version of a service's targets came into use or was removed.
    SoftwareVersionsChanged = 4008, Info;
    /// A target is cold and receives only the rate of requests that it tolerates.
    TargetCold = 4011, Info;
    /// A target is no longer cold.
    TargetWarm = 4012, Info;
    /// An order to a target or to the platform was refused or failed.
    OrderFailed = 4101, Warn;
    /// A target was ordered to load a weight version.
    WeightsOrdered = 4102, Info;
    /// A service has fewer targets than its demand requires, and the zones have no capacity for more.
    CapacityShort = 4103, Warn;
    /// All engines of a zone report that they loaded a new weight version.
    WeightsLoaded = 4104, Info;
    /// A trainer announced a weight version.
    VersionNamed = 4105, Info;
    /// One engine loaded new weights.
    EngineLoaded = 4106, Info;
    /// Targets were ordered to replace lost ones.
    TargetsOrdered = 4107, Info;
    /// A step was created.
    StepCreated = 5001, Info;
    /// All samples of a step are delivered and acknowledged.
    StepFinished = 5002, Info;
    /// A draft was dispatched a second time.
    DraftReissued = 5003, Info;
    /// A sample was dropped because its version is missing or too old.
    SampleUnusable = 5004, Warn;
    /// A step was taken over from another dispatch daemon.
    StepTakenOver = 5005, Warn;
    /// The state of a binding is not replicated to a second daemon.
    BindingDegraded = 5006, Warn;
    /// A batch was stored and accepted.
    BatchAccepted = 5101, Info;
    /// A batch was not accepted.
    BatchRefused = 5102, Info;
    /// This host took over a batch from another host or from an earlier run of a host.
    BatchTakenOver = 5103, Info;
    /// This host released a batch that another host runs now.
    BatchGivenUp = 5104, Info;
    /// All results of a batch are listed.
    BatchFinished = 5105, Info;
    /// The submitter ended a batch.
    BatchEnded = 5106, Info;
    /// A run of a batch item ended before its output was complete.
    ItemRunFailed = 5107, Info;
    /// A batch item expired and is not retried.
    ItemExpired = 5108, Warn;
    /// An object of a batch could not be written to or read from the store.
    BatchStoreFailed = 5109, Warn;
    /// A caller's request to read or end a batch failed.
    BatchNotRead = 5110, Info;
    /// Items of a batch are waiting for engines or for their scores.
    BatchWaits = 5111, Info;
    /// A batch item was moved to a faster engine.
    ItemMoved = 5112, Info;
    /// A batch includes items carried over from earlier batches.
    BatchCarriedOver = 5113, Info;
    /// An attempt of a reward call ended, with or without a score.
    RewardAttemptEnded = 5114, Info;
    /// A reward call was also sent to a second target because the first one is slow.
    RewardHedged = 5115, Info;
    /// This process did not run for a while and confirms the owners of its batches.
    ProcessPaused = 5116, Warn;
    /// A batch was to be started on a host that already runs it. The second start has no effect.
    BatchStartRepeated = 5117, Info;
    /// Results of a batch were read from the store, because no live host has them in memory.
    BatchResultsRead = 5118, Info;
    /// A closed batch was removed from the store after its retention.
    BatchRemoved = 5119, Info;
    /// The next owner accepted a batch from a host that stops.
    BatchHandedOver = 5120, Info;
    /// A host did not accept a batch from a host that stops.
    BatchHandoverFailed = 5121, Info;
    /// A host accepted a batch that the store does not assign to it yet.
    BatchHandoverAccepted = 5122, Info;
    /// The store names the host that accepted a batch.
    BatchHandoverConfirmed = 5123, Info;
    /// The store names another owner than the host that accepted a batch.
    BatchHandoverOverruled = 5124, Warn;
    /// A state names another owner of a batch that this host holds.
    BatchDisplaced = 5125, Info;
    /// After a pause a host has read the states of its batches, and starts items again.
    OwnersConfirmed = 5126, Info;
    /// Items of a batch were placed on engines.
    ItemsPlaced = 5130, Debug;
    /// A batch item resumes its text at an engine.
    ItemResumed = 5131, Info;
    /// A batch item begins anew, because no engine of its text's software version can continue the text soon.
    ItemBegunAnew = 5132, Info;
    /// A usage window was sealed.
    WindowSealed = 6001, Info;
    /// A usage window was reported and acknowledged.
    WindowReported = 6002, Info;
    /// A usage window could not be sealed or reported. The operation is retried.
    WindowDelayed = 6003, Warn;
    /// The platform's report for a usage window differs from the sealed one. The platform's report takes precedence.
    ReportDisputed = 6004, Error;
}

impl LogEvent {
    /// The number of the event, which never changes.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Logs the event with its number and a message that identifies the affected objects.
    pub fn write(self, message: impl fmt::Display) {
        log::log!(target: "jacinthmoor", self.level(), "{self} {}: {message}", self.name());
    }

    /// Logs the event with a message and additional structured fields, so that logs can be searched by field.
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
