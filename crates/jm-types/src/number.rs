//! Newtypes for numbers. The type determines the unit. Values are parsed from and displayed as text with that unit.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

/// The text is not a number of the expected kind.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ParseNumberError {
    /// The digits are not an integer or the integer exceeds 64 bits.
    #[snafu(display("{text:?} is not a whole number: {source}"))]
    InvalidInteger {
        /// The text that was read.
        text: String,
        /// The error of the integer parser.
        source: ParseIntError,
    },
    /// The unit is missing or unknown.
    #[snafu(display("{text:?} needs a number followed by one of: {allowed}"))]
    InvalidUnit {
        /// The text that was read.
        text: String,
        /// The accepted units, separated by commas.
        allowed: &'static str,
    },
    /// The value times its unit exceeds 64 bits.
    #[snafu(display("{text:?} is too large"))]
    TooLarge {
        /// The text that was read.
        text: String,
    },
    /// The text is not a finite number of at least zero.
    #[snafu(display("{text:?} is not a finite number of at least zero"))]
    InvalidDecimal {
        /// The text that was read.
        text: String,
    },
}

fn parse_digits(digits: &str, text: &str) -> Result<u64, ParseNumberError> {
    digits.parse().context(InvalidIntegerSnafu { text })
}

macro_rules! number {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates a value from a number in the unit of the type.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// The value as a number in the unit of the type.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The value plus one, saturating at the maximum.
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }

            /// The sum, saturating at the maximum.
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// The difference, or zero when `other` is larger.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl From<u64> for $name {
            fn from(value: u64) -> Self {
                Self(value)
            }
        }
    )+};
}

macro_rules! plain_text {
    ($($name:ident),+ $(,)?) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseNumberError;

            fn from_str(text: &str) -> Result<Self, ParseNumberError> {
                parse_digits(text, text).map(Self)
            }
        }
    )+};
}

macro_rules! unit_text {
    ($name:ident, $allowed:literal, [$(($unit:literal, $factor:literal)),+ $(,)?]) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                const UNITS: &[(&str, u64)] = &[$(($unit, $factor)),+];
                let (unit, factor) = UNITS
                    .iter()
                    .rev()
                    .find(|(_, factor)| self.0 != 0 && self.0.is_multiple_of(*factor))
                    .unwrap_or(&UNITS[0]);
                write!(f, "{}{unit}", self.0 / factor)
            }
        }

        impl FromStr for $name {
            type Err = ParseNumberError;

            fn from_str(text: &str) -> Result<Self, ParseNumberError> {
                let split = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
                let (digits, unit) = text.split_at(split);
                let factor = match unit.trim() {
                    $($unit => $factor,)+
                    _ => return InvalidUnitSnafu { text, allowed: $allowed }.fail(),
                };
                let value = parse_digits(digits, text)?;
                value.checked_mul(factor).map(Self).context(TooLargeSnafu { text })
            }
        }
    };
}

number! {
    /// Position of an accepted change in the configuration log. Revisions increase monotonically.
    Revision,
    /// Version of a model's weights, assigned by its trainer.
    WeightVersion,
    /// Fencing token of a lease term. A target that checks it refuses orders with a lower number.
    FencingNumber,
    /// One run of a daemon. Each restart increases the number.
    Incarnation,
    /// Index of a sample slot in a step.
    SlotIndex,
    /// Position of a delivered sample in the order of delivery. The first sample has position 1.
    Sequence,
    /// One attempt to produce the sample of a slot.
    AttemptId,
    /// One request, unique within one run of a daemon.
    RequestId,
    /// A number of tokens.
    TokenCount,
    /// A size in bytes.
    ByteSize,
    /// A duration in milliseconds.
    DurationMs,
    /// Milliseconds on the local monotonic clock of a daemon. Timestamps of different hosts are not comparable.
    Timestamp,
}

plain_text!(
    Revision,
    WeightVersion,
    FencingNumber,
    Incarnation,
    SlotIndex,
    Sequence,
    AttemptId,
    RequestId,
    TokenCount,
    Timestamp,
);
unit_text!(
    DurationMs,
    "ms, s, m, h, d",
    [
        ("ms", 1),
        ("s", 1_000),
        ("m", 60_000),
        ("h", 3_600_000),
        ("d", 86_400_000),
    ]
);
unit_text!(
    ByteSize,
    "B, KB, MB, GB",
    [("B", 1), ("KB", 1_000), ("MB", 1_000_000), ("GB", 1_000_000_000),]
);

impl DurationMs {
    /// Converts the duration to [`std::time::Duration`].
    pub const fn as_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Timestamp {
    /// The time elapsed since `earlier`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }

    /// The point in time `duration` later.
    pub const fn after(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

macro_rules! fraction {
    ($(#[$doc:meta] $name:ident $unit:literal),+ $(,)?) => {$(
        #[$doc]
        #[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(f64);

        impl $name {
            /// Creates a value. A number that is negative or not finite becomes zero.
            pub const fn new(value: f64) -> Self {
                if value.is_finite() && value >= 0.0 { Self(value) } else { Self(0.0) }
            }

            /// The value as a number in the unit of the type.
            pub const fn get(self) -> f64 {
                self.0
            }
        }

        // Values are finite, so equality is reflexive.
        impl Eq for $name {}

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseNumberError;

            fn from_str(text: &str) -> Result<Self, ParseNumberError> {
                let number = text.strip_suffix($unit).unwrap_or(text);
                match number.trim().parse::<f64>() {
                    Ok(value) if value.is_finite() && value >= 0.0 => Ok(Self(value)),
                    _ => InvalidDecimalSnafu { text }.fail(),
                }
            }
        }
    )+};
}

fraction! {
    /// A rate in events per second.
    Rate "/s",
    /// A relative weight for weighted fair queueing.
    Share "",
}
