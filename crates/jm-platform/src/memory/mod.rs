//! The platform in memory: for tests, for the demonstration, and as the state behind the platform stand-in.

mod objects;
mod resources;
mod weights;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jm_types::{ByteSize, Clock, SystemClock};

use objects::ObjectState;
use resources::ResourceState;
pub use resources::SpareTarget;
use weights::WeightState;

/// Behaviour of a [`MemoryPlatform`].
#[derive(Clone)]
pub struct MemoryOptions {
    /// Changes that are kept for watches; a watch that starts further back is told to list again.
    pub history_changes: usize,
    /// Whether target orders with an older fencing number are refused.
    pub check_fencing: bool,
    /// Bytes of weights that may be fetched a second; also the largest burst.
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

/// All interfaces of the platform in memory. Clones share their state.
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
    /// An empty platform.
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

/// Every state is consistent between any two statements that can panic, so a poisoned lock is still usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
