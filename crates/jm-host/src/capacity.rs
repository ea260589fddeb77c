//! Selection of the hosts that take on work for others.
//!
//! Load pattern: hosts differ in processor time by a factor of four or more, and all events of a step pass through the host
//! that owns it. On a host with a tenth of a core, a step of 144 texts with 20 events a second each uses most of that share,
//! and its texts end late although the engines are fast. Work that any host could do therefore goes to the hosts with the
//! most processor time, as long as enough of them are live.

use std::{fmt, str::FromStr};

use jm_types::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Processor time of a host, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CpuCapacity(u32);

/// The text is not a number of cores.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("expected a number of cores between 0.001 and 1,000"))]
pub struct CpuCapacityError;

impl CpuCapacity {
    /// Creates a capacity of so many thousandths of a core.
    pub const fn from_millicores(millicores: u32) -> Self {
        Self(millicores)
    }
}

impl FromStr for CpuCapacity {
    type Err = CpuCapacityError;

    /// Parses a number of cores, such as `0.25`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let cores: f64 = text.parse().map_err(|_| CpuCapacityError)?;
        ensure!((0.001..=1_000.0).contains(&cores), CpuCapacitySnafu);
        Ok(Self((cores * 1_000.0).round() as u32))
    }
}

impl fmt::Display for CpuCapacity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", f64::from(self.0) / 1_000.0)
    }
}

/// Minimum number of hosts that share the work. With fewer, the loss of one host would move too much work at once.
const MIN_CAPABLE_HOSTS: usize = 4;

/// The hosts with at least half of the processor time of the largest one, or all hosts if these are too few. A host that
/// does not state its processor time is left out, unless none does.
pub fn capable_hosts(
    live: Vec<(MemberId, Incarnation)>,
    cpu_of: impl Fn(&(MemberId, Incarnation)) -> Option<CpuCapacity>,
) -> Vec<(MemberId, Incarnation)> {
    let Some(largest) = live.iter().filter_map(&cpu_of).max() else {
        return live;
    };
    let is_capable = |host: &&(MemberId, Incarnation)| cpu_of(host).is_some_and(|cpu| cpu.0 >= largest.0 / 2);
    let capable: Vec<(MemberId, Incarnation)> = live.iter().filter(is_capable).cloned().collect();
    match capable.len() >= MIN_CAPABLE_HOSTS {
        true => capable,
        false => live,
    }
}
