//! Numbered result codes, listed in `docs/result-codes.md`. A test compares that table with this list.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What is known about the execution of a request that was not answered normally.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No byte of the request was written to a target.
    NotRun,
    /// A target ran the request.
    Ran,
    /// The request may have run. The system does not retry a non-idempotent request in this case.
    Unknown,
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not run",
            Self::Ran => "ran",
            Self::Unknown => "outcome unknown",
        })
    }
}

/// The text is not the number of a result code.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a result code; docs/result-codes.md lists them"))]
pub struct ParseCodeError {
    text: String,
}

macro_rules! result_codes {
    ($($(#[$doc:meta])+ $name:ident = $number:literal, $status:literal, $execution:ident;)+) => {
        /// A numbered result code. The number is stable. The response carries it together with the HTTP status.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(try_from = "u16", into = "u16")]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[$doc])+ $name = $number,)+
        }

        impl ResultCode {
            /// Every code, in ascending order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// The name of the variant, as listed in `docs/result-codes.md`.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }

            /// The HTTP status of a response with this code.
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Whether a request that ended with this code was executed.
            pub const fn execution(self) -> Execution {
                match self { $(Self::$name => Execution::$execution,)+ }
            }
        }

        impl TryFrom<u16> for ResultCode {
            type Error = ParseCodeError;

            fn try_from(number: u16) -> Result<Self, ParseCodeError> {
                match number {
                    $($number => Ok(Self::$name),)+
                    _ => ParseCodeSnafu { text: number.to_string() }.fail(),
                }
            }
        }
    };
}

result_codes! {
    /// The route requires a key and the request has none.
    MissingKey = 1001, 401, NotRun;
    /// The key or admin token is unknown.
    UnknownKey = 1002, 401, NotRun;
    /// The key was withdrawn.
    WithdrawnKey = 1003, 401, NotRun;
    /// The key's organisation may not use the route.
    RouteNotAllowed = 1004, 403, NotRun;
    /// The service does not exist.
    UnknownService = 1005, 404, NotRun;
    /// The path is not an endpoint of the system.
    UnknownEndpoint = 1006, 404, NotRun;
    /// The request head or body cannot be read.
    MalformedRequest = 1007, 400, NotRun;
    /// The body exceeds the limit in the settings.
    BodyTooLarge = 1008, 413, NotRun;
    /// The head exceeds the limit in the settings.
    HeadTooLarge = 1009, 431, NotRun;
    /// The path, the query, a forwarded header or the body contains the caller's key.
    KeyInRequest = 1010, 400, NotRun;
    /// The request did not arrive in time.
    RequestTimeout = 1011, 408, NotRun;
    /// The connection limit in the settings is reached.
    TooManyConnections = 1012, 503, NotRun;
    /// The headers that state the body length contradict one another or are not supported.
    AmbiguousFraming = 1013, 400, NotRun;
    /// The body ended before its stated length.
    CutBody = 1014, 400, NotRun;
    /// The HTTP version is not supported.
    UnsupportedVersion = 1015, 505, NotRun;
    /// The endpoint does not support this method.
    MethodNotAllowed = 1016, 405, NotRun;
    /// The expectation in the `expect` header is not supported.
    UnsupportedExpectation = 1017, 417, NotRun;
    /// The buffers of the process exceed their memory budget.
    BuffersFull = 1018, 503, NotRun;
    /// The queue for the service is full.
    QueueFull = 2001, 429, NotRun;
    /// The deadline passed while the request was waiting.
    DeadlinePassed = 2002, 504, NotRun;
    /// No live target serves the service.
    NoTarget = 2003, 503, NotRun;
    /// The daemon cannot verify that its configuration is current; see section 4.2 of docs/design.md.
    NotFresh = 2004, 503, NotRun;
    /// The daemon is stopping.
    Stopping = 2005, 503, NotRun;
    /// The request needs the platform's object API, which does not respond.
    StoreUnavailable = 2006, 503, NotRun;
    /// The target could not be reached and the retry budget is spent.
    RetryBudgetSpent = 2007, 503, NotRun;
    /// The dispatch daemon that owns the target could not be reached.
    DispatchUnreachable = 2008, 503, NotRun;
    /// No connection to the entry daemon could be opened.
    EntryUnreachable = 2009, 503, NotRun;
    /// All targets of the service are in evacuated availability zones.
    Evacuated = 2010, 503, NotRun;
    /// The request may have run and its answer is not available.
    OutcomeUnknown = 3001, 502, Unknown;
    /// The target failed after it started the request.
    TargetFailed = 3002, 502, Unknown;
    /// The target's answer ended before it was complete.
    AnswerCut = 3003, 502, Unknown;
    /// The target's answer is not valid HTTP.
    MalformedAnswer = 3004, 502, Unknown;
    /// The target did not answer in time.
    AnswerTimeout = 3005, 504, Unknown;
    /// The key was withdrawn while the request was in progress.
    CutByWithdrawal = 3006, 401, Unknown;
    /// The ticket cannot be parsed or its signature is invalid.
    MalformedTicket = 4001, 400, NotRun;
    /// The ticket has expired, so the outcome of its order is no longer available.
    TicketExpired = 4002, 410, Unknown;
    /// The ticket was issued for another service or organisation.
    TicketMismatch = 4003, 409, NotRun;
    /// The ticket or idempotency key was used before with another request.
    RequestMismatch = 4004, 409, NotRun;
    /// The text is not valid INI.
    MalformedIni = 5001, 400, NotRun;
    /// The INI text has an unknown section.
    UnknownSection = 5002, 400, NotRun;
    /// A section has an unknown setting.
    UnknownSetting = 5003, 400, NotRun;
    /// A value cannot be parsed.
    BadValue = 5004, 400, NotRun;
    /// A value is outside its range.
    OutOfRange = 5005, 400, NotRun;
    /// A section or setting occurs twice.
    Duplicate = 5006, 400, NotRun;
    /// A required setting is missing.
    MissingSetting = 5007, 400, NotRun;
    /// A section refers to a section that does not exist.
    DanglingReference = 5008, 400, NotRun;
    /// The section was changed after the revision on which this edit is based.
    SectionConflict = 5009, 409, NotRun;
    /// The change is stored, but a majority of members has not confirmed it yet.
    NotYetConfirmed = 5010, 202, Ran;
    /// The section belongs to another team.
    WrongTeam = 5011, 403, NotRun;
    /// It is not known whether the change was stored. Submitting it again with the same change id shows the outcome.
    ChangeUnknown = 5012, 502, Unknown;
    /// The step does not exist.
    UnknownStep = 6001, 404, NotRun;
    /// A step with this id exists and has another specification.
    StepConflict = 6002, 409, NotRun;
    /// The acknowledgement refers to a sample that was not delivered.
    BadAcknowledgement = 6003, 409, NotRun;
    /// The step cannot meet its staleness bound.
    StalenessExceeded = 6004, 409, NotRun;
    /// The ownership of the step is being transferred.
    StepMoving = 6005, 503, NotRun;
    /// An internal error.
    Internal = 9001, 500, Unknown;
}

impl ResultCode {
    /// The number of the code, which never changes.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "JM{}", self.number())
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> Self {
        code.number()
    }
}

impl FromStr for ResultCode {
    type Err = ParseCodeError;

    fn from_str(text: &str) -> Result<Self, ParseCodeError> {
        let number = text
            .strip_prefix("JM")
            .and_then(|digits| digits.parse::<u16>().ok());
        match number {
            Some(number) => Self::try_from(number),
            None => ParseCodeSnafu { text }.fail(),
        }
    }
}
