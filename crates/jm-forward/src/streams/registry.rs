//! What this host knows about streams: its own origins, and what was last read from the store.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use indexmap::IndexMap;
use jm_types::{Clock, ServiceId, Timestamp};

use crate::{
    Catalog, MAX_ORIGINS, Origin, OriginTable, RecentStreams, Recorded, SoftwareFilter, StreamKey, Target,
    VersionsInUse,
};

/// Origins that one process of a host has stored, by origin.
pub type StoredOrigins = BTreeMap<Origin, HashSet<StreamKey>>;

/// Shared by the requests of a host and by the task that reads and writes the store.
pub struct StreamRegistry {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

struct State {
    own: OriginTable,
    recent: RecentStreams,
    in_use: Option<VersionsInUse>,
    stored: IndexMap<String, Arc<StoredOrigins>>,
}

impl StreamRegistry {
    /// Creates a registry that knows nothing.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let state = State {
            own: OriginTable::new(MAX_ORIGINS),
            recent: RecentStreams::default(),
            in_use: None,
            stored: IndexMap::new(),
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Records the origin of a stream of this host; `None` if it is ambiguous.
    pub fn record(&self, key: StreamKey, origin: Option<&Origin>, expires_at: Timestamp) {
        let now = self.clock.now();
        self.lock().own.record(key, origin, expires_at, now);
    }

    /// Records a new stream that a target begins, which was chosen with the entry `chosen`.
    pub fn record_new(&self, key: StreamKey, chosen: &Target, expires_at: Timestamp) {
        let now = self.clock.now();
        let origin = Origin {
            service: chosen.service.clone(),
            software: chosen.software.clone(),
        };
        let mut state = self.lock();
        state.own.record(key, Some(&origin), expires_at, now);
        state.recent.record(key, chosen, now);
    }

    /// Makes the streams ambiguous that began at targets which had started again with other software, as their entries say
    /// by now.
    pub fn check_entries(&self, catalog: &Catalog, unix_ms: u64) {
        let now = self.clock.now();
        let mut state = self.lock();
        for key in state.recent.take_contradicted(catalog, unix_ms, now) {
            state.own.record(key, None, now, now);
        }
    }

    /// The origin of a stream that this host began or took up: `Some(None)` if it is ambiguous, `None` if it has no record.
    pub fn own_origin(&self, key: StreamKey) -> Option<Option<Origin>> {
        self.lock().own_origin(key, self.clock.now())
    }

    /// The recorded origin of a stream, also in the last listing of what hosts have stored: `Some(None)` if it is ambiguous,
    /// `None` if none is known.
    pub fn origin(&self, key: StreamKey) -> Option<Option<Origin>> {
        let state = self.lock();
        let own = state.own_origin(key, self.clock.now());
        own.or_else(|| state.stored_origin(key))
    }

    /// Versions in use as last read from the store; `None` before the first read.
    pub fn in_use(&self) -> Option<VersionsInUse> {
        self.lock().in_use.clone()
    }

    /// Whether the versions in use were read from the store.
    pub fn has_versions(&self) -> bool {
        self.lock().in_use.is_some()
    }

    /// Whether a version is in use, as last read from the store.
    pub fn is_in_use(&self, origin: &Origin) -> bool {
        let state = self.lock();
        state
            .in_use
            .as_ref()
            .is_some_and(|in_use| in_use.contains(origin))
    }

    /// The only version that is in use in a service, as last read from the store.
    pub fn single_version(&self, service: &ServiceId) -> Option<Origin> {
        self.lock().in_use.as_ref()?.single(service)
    }

    /// Replaces the versions in use by what was read from or written to the store.
    pub fn set_in_use(&self, in_use: VersionsInUse) {
        self.lock().in_use = Some(in_use);
    }

    /// Forgets that versions are in use, so that they are read from the store before they are used again.
    pub fn forget(&self, origins: &BTreeSet<Origin>) {
        if let Some(in_use) = &mut self.lock().in_use {
            *in_use = in_use.without(origins);
        }
    }

    /// Replaces the origins that hosts have stored, by object.
    pub fn set_stored(&self, stored: IndexMap<String, Arc<StoredOrigins>>) {
        self.lock().stored = stored;
    }

    /// Targets that a new stream of `service` may use: those of versions in use. All if the versions were not read yet, or
    /// if no target of a version in use is listed.
    pub fn filter_for_new(&self, service: &ServiceId, catalog: &Catalog) -> SoftwareFilter {
        let state = self.lock();
        let versions = state.in_use.as_ref().and_then(|in_use| in_use.of(service));
        let Some(versions) = versions else {
            return SoftwareFilter::Any;
        };
        let mut listed = catalog.iter().filter(|target| target.service == *service);
        match listed.any(|target| versions.contains(&target.software)) {
            true => SoftwareFilter::Among(versions.clone()),
            false => SoftwareFilter::Any,
        }
    }

    /// Number of changes of this host's own origins so far.
    pub fn changes(&self) -> u64 {
        self.lock().own.changes()
    }

    /// Number of this host's own origins, and of those that were dropped before they expired.
    pub fn counts(&self) -> (usize, u64) {
        let state = self.lock();
        (state.own.len(), state.own.dropped())
    }

    /// This host's own origins in services for which `is_wanted` holds, at most `limit` of those that expire last, and the
    /// last time at which one expires.
    pub fn own_origins(
        &self,
        limit: usize,
        is_wanted: impl Fn(&ServiceId) -> bool,
    ) -> (StoredOrigins, Timestamp) {
        let state = self.lock();
        let now = self.clock.now();
        let (mut origins, mut last) = (StoredOrigins::new(), now);
        let known = state.own.known(now, |origin| is_wanted(&origin.service));
        for (key, origin, expires_at) in known.rev().take(limit) {
            match origins.get_mut(origin) {
                Some(keys) => drop(keys.insert(key)),
                None => drop(origins.insert(origin.clone(), HashSet::from([key]))),
            }
            last = last.max(expires_at);
        }
        (origins, last)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change leaves the state consistent even if another thread panicked while it held the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn own_origin(&self, key: StreamKey, now: Timestamp) -> Option<Option<Origin>> {
        match self.own.get(key, now)? {
            Recorded::Known(origin) => Some(Some(origin.clone())),
            Recorded::Ambiguous => Some(None),
        }
    }

    /// Several hosts may have stored a stream that was resumed at several. It is ambiguous if they disagree.
    fn stored_origin(&self, key: StreamKey) -> Option<Option<Origin>> {
        let groups = self.stored.values().flat_map(|stored| stored.iter());
        let mut holding = groups
            .filter(|(_, keys)| keys.contains(&key))
            .map(|(origin, _)| origin);
        let first = holding.next()?;
        Some(holding.all(|other| other == first).then(|| first.clone()))
    }
}
