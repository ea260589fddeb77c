//! Acquisition, renewal and release of a lease.

use jm_platform::{Condition, ObjectError, ObjectStore, ReadError, Version};
use jm_types::{Clock, FencingNumber, MemberId, Timestamp};
use snafu::{ResultExt, Snafu};

use crate::{LeaseGuard, LeaseOptions, LeaseOptionsError, LeaseRecord};

/// Maximum number of updates in one renewal or release. A second update is needed when an earlier one took effect but
/// its response was lost, because the object's version then differs from the expected one.
const UPDATE_ROUNDS: u32 = 2;

/// Maximum number of unconfirmed updates that are tracked. An update that took effect but is no longer tracked is
/// treated as that of another holder, which only costs the wait for one term.
const MAX_PENDING_UPDATES: usize = 64;

/// Why a lease could not be acquired, renewed or released.
#[derive(Debug, Snafu)]
pub enum LeaseError {
    /// The lease object cannot be read. An update sent before may or may not have taken effect.
    #[snafu(display("the lease cannot be read: {source}"))]
    Read {
        /// Error of the object store.
        source: ReadError,
    },
    /// The update was not confirmed and may still take effect. A later call resolves the outcome.
    #[snafu(display("the lease cannot be updated: {source}"))]
    Write {
        /// Error of the object store.
        source: ObjectError,
    },
    /// The lease object does not hold a lease record.
    #[snafu(display("the lease object {key} cannot be parsed: {source}"))]
    Unreadable {
        /// Key of the object.
        key: String,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// Another holder has the lease. All guards of this manager have ended.
    #[snafu(display("the lease was lost"))]
    Lost,
    /// This manager does not hold the lease, so there is nothing to renew or release.
    #[snafu(display("the lease is not held"))]
    NotHeld,
}

/// Result of an attempt to acquire a lease.
#[derive(Debug, Clone)]
pub enum Acquisition {
    /// This manager holds the lease under the given guard.
    Held(LeaseGuard),
    /// The lease is not held by this manager.
    Observing {
        /// Holder named in the lease object, or `None` if the object does not exist and an update failed.
        holder: Option<MemberId>,
        /// Time on the boot clock from which the lease may be taken over unless its object changes before.
        takeover_at: Timestamp,
    },
}

/// Version and value of the lease object, with the time at which this manager first observed that version.
struct Observation {
    version: Version,
    record: LeaseRecord,
    since: Timestamp,
}

impl Observation {
    fn takeover_at(&self) -> Timestamp {
        if self.record.released {
            self.since
        } else {
            self.since.after(self.record.term_ms)
        }
    }
}

/// Expected state of the object: an update takes effect only if it matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    Absent,
    Version(Version),
}

impl Expected {
    fn condition(self) -> Condition {
        match self {
            Self::Absent => Condition::Absent,
            Self::Version(version) => Condition::Version(version),
        }
    }
}

impl From<Version> for Expected {
    fn from(version: Version) -> Self {
        Self::Version(version)
    }
}

/// An update that was sent and whose response may be lost.
#[derive(Clone)]
struct PendingUpdate {
    update: u64,
    sent_at: Timestamp,
    guard: LeaseGuard,
}

struct Held {
    guard: LeaseGuard,
    version: Version,
}

/// Manages one lease. Call [`LeaseManager::acquire`] repeatedly until the lease is held, then [`LeaseManager::renew`]
/// several times a term. Dropping the future of a call, for example after a timeout, is safe: a later call resolves the
/// outcome of a sent update.
pub struct LeaseManager {
    options: LeaseOptions,
    key: String,
    next_update: u64,
    pending: Vec<PendingUpdate>,
    observation: Option<Observation>,
    held: Option<Held>,
    /// End of the cooldown after the start or the last loss. `None` before [`LeaseManager::start_cooldown`] or the first
    /// call of `acquire`.
    cooldown_until: Option<Timestamp>,
}

impl LeaseManager {
    /// Creates a manager that does not hold the lease.
    ///
    /// # Errors
    ///
    /// Fails if the margin is zero or not below the term.
    pub fn new(options: LeaseOptions) -> Result<Self, LeaseOptionsError> {
        options.check()?;
        Ok(Self {
            key: options.duty.key(),
            options,
            next_update: 1,
            pending: Vec::new(),
            observation: None,
            held: None,
            cooldown_until: None,
        })
    }

    /// Starts the cooldown of a holder that has just started. Without this call it starts at the first call of `acquire`,
    /// which may be much later on a host that is not a candidate at first.
    pub fn start_cooldown(&mut self, now: Timestamp) {
        let cooldown_until = now.after(self.options.cooldown_ms);
        self.cooldown_until.get_or_insert(cooldown_until);
    }

    /// Guard of the held lease, or `None` if it is not held. The guard may have expired; see [`LeaseGuard::is_valid`].
    pub fn guard(&self) -> Option<&LeaseGuard> {
        self.held.as_ref().map(|held| &held.guard)
    }

    /// Last observed lease record, or `None` if the lease object was not read yet or does not exist.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.observation.as_ref().map(|observation| &observation.record)
    }

    /// Takes the lease over if it is free, or if its object has not changed for the whole term of its holder on this
    /// daemon's clock. Renews the lease if it is already held.
    ///
    /// # Errors
    ///
    /// Fails if the object store fails or the lease object cannot be parsed.
    pub async fn acquire(
        &mut self,
        store: &dyn ObjectStore,
        clock: &dyn Clock,
    ) -> Result<Acquisition, LeaseError> {
        self.start_cooldown(clock.now());
        if self.held.is_none() {
            self.read(store, clock).await?;
        }
        if self.held.is_some() {
            match self.renew(store, clock).await {
                Ok(()) | Err(LeaseError::Lost) => return Ok(self.acquisition(clock)),
                Err(error) => return Err(error),
            }
        }
        let takeover_at = self.observation.as_ref().map(|current| self.takeover_at(current));
        if takeover_at.is_none_or(|takeover_at| clock.now() >= takeover_at) {
            self.take_over(store, clock).await?;
        }
        Ok(self.acquisition(clock))
    }

    /// Time from which this daemon may take the lease over unless its object changes before.
    fn takeover_at(&self, current: &Observation) -> Timestamp {
        let was_own = current.record.holder == self.options.holder;
        if was_own && self.options.single_instance {
            return current.since;
        }
        let cooldown_until = self.cooldown_until.filter(|_| !was_own);
        current.takeover_at().max(cooldown_until.unwrap_or_default())
    }

    /// Extends the validity of the guard by updating the lease object.
    ///
    /// # Errors
    ///
    /// Fails if the lease is not held or was lost, or if the object store fails.
    pub async fn renew(&mut self, store: &dyn ObjectStore, clock: &dyn Clock) -> Result<(), LeaseError> {
        if self.held.is_none() {
            return NotHeldSnafu.fail();
        }
        for _ in 0..UPDATE_ROUNDS {
            let Some(held) = &self.held else {
                return LostSnafu.fail();
            };
            let (version, guard) = (held.version, held.guard.clone());
            if self.update(store, clock, version.into(), guard, false).await? {
                return Ok(());
            }
        }
        // An earlier update took effect and has extended the validity.
        if self.held.is_some() {
            Ok(())
        } else {
            LostSnafu.fail()
        }
    }

    /// Ends the guard, then marks the lease as released, so that another daemon does not have to wait for the term. The
    /// guard stays ended if the update fails.
    ///
    /// # Errors
    ///
    /// Fails if the lease is not held or the object store fails.
    pub async fn release(&mut self, store: &dyn ObjectStore, clock: &dyn Clock) -> Result<(), LeaseError> {
        let Some(held) = self.held.take() else {
            return NotHeldSnafu.fail();
        };
        held.guard.end();
        self.cooldown_until = Some(clock.now().after(self.options.cooldown_ms));
        let mut version = held.version;
        for _ in 0..UPDATE_ROUNDS {
            let guard = held.guard.clone();
            if self.update(store, clock, version.into(), guard, true).await? {
                return Ok(());
            }
            match &self.observation {
                Some(current) if self.is_own(&current.record) => version = current.version,
                _ => return Ok(()),
            }
        }
        Ok(())
    }

    /// Takes a free or expired lease under the next fencing number.
    async fn take_over(&mut self, store: &dyn ObjectStore, clock: &dyn Clock) -> Result<(), LeaseError> {
        let (expected, guard) = match &self.observation {
            Some(current) => {
                let longest = current.record.longest_order_ms;
                // The margin covers clocks of different speeds here too, over the maximum order time.
                let wait = longest.saturating_add(self.options.margin_ms);
                let orders_allowed_at = current.takeover_at().after(wait);
                let fencing = current.record.fencing.next();
                (
                    current.version.into(),
                    LeaseGuard::new(fencing, orders_allowed_at, longest),
                )
            }
            None => (Expected::Absent, self.first_guard(store, clock).await?),
        };
        self.update(store, clock, expected, guard, false).await?;
        Ok(())
    }

    /// Creates the guard for a lease whose object does not exist. The fencing number starts above the version of the
    /// store. Each takeover raises that version by at least as much as the fencing number, so the numbers increase even
    /// if the object was deleted.
    async fn first_guard(
        &self,
        store: &dyn ObjectStore,
        clock: &dyn Clock,
    ) -> Result<LeaseGuard, LeaseError> {
        let listing = store.list(&self.key).await.context(ReadSnafu)?;
        let fencing = FencingNumber::new(listing.version.get()).next();
        Ok(LeaseGuard::new(
            fencing,
            clock.now(),
            self.options.longest_order_ms,
        ))
    }

    /// Sends one update and resolves its outcome. Returns whether it took effect.
    async fn update(
        &mut self,
        store: &dyn ObjectStore,
        clock: &dyn Clock,
        expected: Expected,
        guard: LeaseGuard,
        released: bool,
    ) -> Result<bool, LeaseError> {
        let sent_at = clock.now();
        let record = self.next_record(&guard, sent_at, released);
        let (update, value) = (record.update, encode(&record));
        self.track(PendingUpdate {
            update,
            sent_at,
            guard,
        });
        match store.put(&self.key, value, expected.condition()).await {
            Ok(version) => {
                self.observe(version, record, clock.now());
                Ok(true)
            }
            Err(source @ (ObjectError::Conflict { .. } | ObjectError::AnswerLost { .. })) => {
                self.read(store, clock).await?;
                self.resolve(update, expected, source)
            }
            Err(source) => Err(source).context(WriteSnafu),
        }
    }

    /// Determines from the object that was read back whether an update took effect. The outcome is unknown while the
    /// object still has the expected version and the request may be in transit.
    fn resolve(&self, update: u64, expected: Expected, source: ObjectError) -> Result<bool, LeaseError> {
        let current = self.observation.as_ref();
        if current.is_some_and(|current| self.is_own(&current.record) && current.record.update == update) {
            return Ok(true);
        }
        let is_unchanged = expected == current.map_or(Expected::Absent, |current| current.version.into());
        if is_unchanged && source.may_be_applied() {
            return Err(source).context(WriteSnafu);
        }
        Ok(false)
    }

    async fn read(&mut self, store: &dyn ObjectStore, clock: &dyn Clock) -> Result<(), LeaseError> {
        let Some(object) = store.get(&self.key).await.context(ReadSnafu)? else {
            self.clear();
            return Ok(());
        };
        let key = &self.key;
        let record = serde_json::from_slice(&object.value).context(UnreadableSnafu { key })?;
        self.observe(object.version, record, clock.now());
        Ok(())
    }

    /// Records the object's version and value. A version that is not newer than the recorded one changes nothing, so
    /// that the term of an unchanged object continues to run.
    fn observe(&mut self, version: Version, record: LeaseRecord, now: Timestamp) {
        let observed = self.observation.as_ref().map(|current| current.version);
        if observed.is_some_and(|observed| version <= observed) {
            return;
        }
        let pending = self.pending_update(&record);
        // All pending updates expect an earlier version and can no longer take effect.
        self.pending.clear();
        self.set_held(pending, version, &record, now);
        self.observation = Some(Observation {
            version,
            record,
            since: now,
        });
    }

    fn pending_update(&self, record: &LeaseRecord) -> Option<PendingUpdate> {
        let is_own = self.is_own(record);
        let mut pending = self.pending.iter();
        pending
            .find(|pending| is_own && pending.update == record.update)
            .cloned()
    }

    /// Marks the lease as held if the object was written by this manager. Ends the guard otherwise.
    fn set_held(
        &mut self,
        pending: Option<PendingUpdate>,
        version: Version,
        record: &LeaseRecord,
        now: Timestamp,
    ) {
        let previous = self.held.take();
        let pending = pending.filter(|pending| !record.released && !pending.guard.is_ended());
        let Some(PendingUpdate { sent_at, guard, .. }) = pending else {
            if let Some(previous) = previous {
                previous.guard.end();
                self.cooldown_until = Some(now.after(self.options.cooldown_ms));
            }
            return;
        };
        let usable_ms = record.term_ms.saturating_sub(self.options.margin_ms);
        guard.extend(sent_at.after(usable_ms));
        self.held = Some(Held { guard, version });
    }

    /// Clears the recorded state because the object does not exist. Only an operator deletes it.
    fn clear(&mut self) {
        self.observation = None;
        if let Some(held) = self.held.take() {
            held.guard.end();
        }
    }

    fn track(&mut self, update: PendingUpdate) {
        if self.pending.len() >= MAX_PENDING_UPDATES {
            self.pending.remove(0);
        }
        self.pending.push(update);
    }

    fn next_record(&mut self, guard: &LeaseGuard, now: Timestamp, released: bool) -> LeaseRecord {
        let update = self.next_update;
        self.next_update += 1;
        let options = &self.options;
        LeaseRecord {
            holder: options.holder.clone(),
            incarnation: options.incarnation,
            fencing: guard.fencing(),
            term_ms: options.term_ms,
            longest_order_ms: guard.longest_order(options.longest_order_ms, now),
            update,
            released,
        }
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.options.holder && record.incarnation == self.options.incarnation
    }

    fn acquisition(&self, clock: &dyn Clock) -> Acquisition {
        if let Some(held) = &self.held {
            return Acquisition::Held(held.guard.clone());
        }
        let current = self.observation.as_ref();
        Acquisition::Observing {
            holder: current.map(|current| current.record.holder.clone()),
            takeover_at: current.map_or_else(|| clock.now(), |current| self.takeover_at(current)),
        }
    }
}

fn encode(record: &LeaseRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("a lease record has only text keys")
}
