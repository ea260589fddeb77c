//! The budget of memory and connections of this process.

use jm_http::BufferBudget;
use rustix::process::{Resource, getrlimit};

use crate::LimitSettings;

/// Share of the open descriptors that connections to this host may use, in percent. The rest is for connections to the
/// store, the targets and other hosts, without which no request can be served.
const CONNECTION_PERCENT: u64 = 75;

/// Creates the budget that all servers and clients of this process share.
pub fn process_budget(limits: &LimitSettings) -> BufferBudget {
    let max_connections = match getrlimit(Resource::Nofile).current {
        Some(descriptors) => usize::try_from(descriptors / 100 * CONNECTION_PERCENT).unwrap_or(usize::MAX),
        None => usize::MAX,
    };
    BufferBudget::with_connections(limits.buffers(), max_connections)
}
