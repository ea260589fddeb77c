//! In-memory implementation of the platform, used by tests, the demonstration and the platform stand-in.

mod objects;
mod resources;
mod weights;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jm_types::{ByteSize, Clock, SystemClock};

use objects::ObjectState;
use resources::ResourceState;
pub use resources::SpareTarget;
use weights::WeightState;

/// Options of a [`MemoryPlatform`].
#[derive(Clone)]
pub struct MemoryOptions {
    /// Number of changes that are retained for watches. A watch that starts before them fails with
    /// [`WatchError::Relist`](crate::WatchError::Relist).
    pub history_changes: usize,
    /// Whether target orders and releases with an outdated fencing number are refused.
    pub check_fencing: bool,
    /// Rate limit for fetching weights in bytes per second. It is also the burst size.
    pub weight_bytes_per_s: ByteSize,
    /// Clock of the weight store's rate limit.
    pub clock: Arc<dyn Clock>,
}

impl Default for MemoryOptions {
    fn default() -> Self {
        Self {
            history_changes: 10_000,
            check_fencing: true,
            weight_bytes_per_s: ByteSize::new(1_000_000_000),
            clock: Arc::new(SystemClock),
        }
    }
}

/// All platform APIs in memory. Clones share their state.
#[derive(Clone)]
pub struct MemoryPlatform {
    shared: Arc<Shared>,
}

struct Shared {
    options: MemoryOptions,
    objects: Mutex<ObjectState>,
    resources: Mutex<ResourceState>,
    weights: Mutex<WeightState>,
}

impl MemoryPlatform {
    /// Creates a platform without objects, hosts, targets, reports and weights.
    pub fn new(options: MemoryOptions) -> Self {
        let weights = WeightState::new(options.weight_bytes_per_s, options.clock.now());
        let shared = Shared {
            options,
            objects: Mutex::default(),
            resources: Mutex::default(),
            weights: Mutex::new(weights),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    fn objects(&self) -> MutexGuard<'_, ObjectState> {
        lock(&self.shared.objects)
    }

    fn resources(&self) -> MutexGuard<'_, ResourceState> {
        lock(&self.shared.resources)
    }

    fn weights(&self) -> MutexGuard<'_, WeightState> {
        lock(&self.shared.weights)
    }
}

impl Default for MemoryPlatform {
    fn default() -> Self {
        Self::new(MemoryOptions::default())
    }
}

/// Locks `mutex` even if it is poisoned. The state is consistent at every statement that can panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
