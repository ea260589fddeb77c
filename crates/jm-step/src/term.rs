//! Terms of ownership.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Number of low bits of an attempt id that number the attempts of one term.
const ATTEMPT_BITS: u32 = 24;
/// Odd multipliers of the SplitMix64 generator. They make nearby inputs differ in all bits of the output.
const SPLITMIX64_MULTIPLIERS: [u64; 3] = [
    0x9e37_79b9_7f4a_7c15,
    0xbf58_476d_1ce4_e5b9,
    0x94d0_49bb_1331_11eb,
];

/// A period in which a step has one owner and at most one copy holder. Terms are ordered by `number`. `owner`
/// distinguishes terms that two daemons started after the same predecessor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Term {
    /// Increases with each takeover and each change of the copy holder.
    pub number: u64,
    /// [`crate::StepOptions::owner`] of the owner.
    pub owner: u64,
}

/// The text does not have the form of a term.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a term must have the form NUMBER-OWNER"))]
pub struct ParseTermError;

impl Term {
    pub(crate) const fn next(self, owner: u64) -> Self {
        Self {
            number: self.number + 1,
            owner,
        }
    }

    /// First attempt id of an owner that starts with this term. The upper 40 bits are a hash of the term, so that
    /// a late answer to a draft of another owner does not match a draft of this owner. The term number alone is
    /// not sufficient, because daemons that took over from copies of different age can have the same number.
    pub(crate) const fn first_attempt(self) -> u64 {
        let mut hash = self
            .owner
            .wrapping_add(self.number.wrapping_mul(SPLITMIX64_MULTIPLIERS[0]));
        hash = (hash ^ (hash >> 30)).wrapping_mul(SPLITMIX64_MULTIPLIERS[1]);
        hash = (hash ^ (hash >> 27)).wrapping_mul(SPLITMIX64_MULTIPLIERS[2]);
        hash = hash ^ (hash >> 31);
        hash >> ATTEMPT_BITS << ATTEMPT_BITS
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.number, self.owner)
    }
}

impl FromStr for Term {
    type Err = ParseTermError;

    fn from_str(text: &str) -> Result<Self, ParseTermError> {
        let (number, owner) = text.split_once('-').ok_or(ParseTermError)?;
        Ok(Self {
            number: number.parse().map_err(|_| ParseTermError)?,
            owner: owner.parse().map_err(|_| ParseTermError)?,
        })
    }
}
