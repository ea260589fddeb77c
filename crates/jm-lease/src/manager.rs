//! Acquiring, renewing and releasing a lease.

use jm_platform::{Condition, ObjectError, ObjectStore, ReadError, Version};
use jm_types::{Clock, FencingNumber, MemberId, Timestamp};
use snafu::{ResultExt, Snafu};

use crate::{LeaseGuard, LeaseOptions, LeaseOptionsError, LeaseRecord};

/// Rounds of one renewal or release. A second round is needed when an earlier update whose answer was lost had taken
/// effect and the version differs from the expected one.
const UPDATE_ROUNDS: u32 = 2;

/// Updates without an answer that are remembered. An update that took effect and is no longer remembered counts as
/// that of another holder, which only costs the wait for the term.
const MAX_ATTEMPTS: usize = 64;

/// Why a lease could not be acquired, renewed or released.
#[derive(Debug, Snafu)]
pub enum LeaseError {
    /// The lease object cannot be read; whether an update took effect may be open.
    #[snafu(display("the lease cannot be read: {source}"))]
    Read {
        /// The cause.
        source: ReadError,
    },
    /// The update was not confirmed. It may still take effect; a later call finds out.
    #[snafu(display("the lease cannot be updated: {source}"))]
    Write {
        /// The cause.
        source: ObjectError,
    },
    /// The lease object does not hold a lease record.
    #[snafu(display("the lease object {key} cannot be parsed: {source}"))]
    Unreadable {
        /// Key of the object.
        key: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// Another holder has the lease; guards of this manager are not valid any more.
    #[snafu(display("the lease was lost"))]
    Lost,
    /// The manager does not hold the lease.
    #[snafu(display("the lease is not held"))]
    NotHeld,
}

/// Result of an attempt to acquire a lease.
#[derive(Debug, Clone)]
pub enum Acquisition {
    /// The lease is held.
    Held(LeaseGuard),
    /// Another holder has it.
    Observing {
        /// The holder, unless the lease is free and only an update failed.
        holder: Option<MemberId>,
        /// When the lease may be taken over if its object does not change until then.
        takeover_at: Timestamp,
    },
}

/// Version and value of the lease object, and when it was first known to exist.
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

/// What the object must be for an update to take effect.
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

/// An update that was sent; its answer may be lost.
#[derive(Clone)]
struct Attempt {
    update: u64,
    sent_at: Timestamp,
    guard: LeaseGuard,
}

struct Held {
    guard: LeaseGuard,
    version: Version,
}

/// Keeps one lease. Call [`LeaseManager::acquire`] repeatedly until the lease is held, then [`LeaseManager::renew`]
/// several times a term. Dropping the future of a call, for example after a timeout, is safe: a sent update is settled
/// by a later call.
pub struct LeaseManager {
    options: LeaseOptions,
    key: String,
    next_update: u64,
    attempts: Vec<Attempt>,
    observation: Option<Observation>,
    held: Option<Held>,
    /// When the rest after the start or after the last loss ends; none before the first look.
    rested_at: Option<Timestamp>,
}

impl LeaseManager {
    /// A manager that holds nothing yet.
    pub fn new(options: LeaseOptions) -> Result<Self, LeaseOptionsError> {
        options.check()?;
        Ok(Self {
            key: options.duty.key(),
            options,
            next_update: 1,
            attempts: Vec::new(),
            observation: None,
            held: None,
            rested_at: None,
        })
    }

    /// The guard of the held lease. It may have lapsed, see [`LeaseGuard::is_valid`].
    pub fn guard(&self) -> Option<&LeaseGuard> {
        self.held.as_ref().map(|held| &held.guard)
    }

    /// The lease record as last seen.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.observation.as_ref().map(|observation| &observation.record)
    }

    /// Takes the lease if it is free, or if its object has not changed for the whole term of its holder on this
    /// daemon's clock. Renews it when it is already held.
    pub async fn acquire(
        &mut self,
        store: &dyn ObjectStore,
        clock: &dyn Clock,
    ) -> Result<Acquisition, LeaseError> {
        let rested_at = clock.now().after(self.options.cooldown_ms);
        self.rested_at.get_or_insert(rested_at);
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

    /// When this daemon may take the lease over if its object does not change until then.
    fn takeover_at(&self, current: &Observation) -> Timestamp {
        let was_own = current.record.holder == self.options.holder;
        if was_own && self.options.single_instance {
            return current.since;
        }
        let rested_at = self.rested_at.filter(|_| !was_own);
        current.takeover_at().max(rested_at.unwrap_or_default())
    }

    /// Extends the validity of the guard by updating the object.
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
        // An earlier update took effect, and its validity counts.
        if self.held.is_some() {
            Ok(())
        } else {
            LostSnafu.fail()
        }
    }

    /// Ends the guard, then marks the lease as free, so that another daemon need not wait for the term. The guard
    /// stays ended when the update fails.
    pub async fn release(&mut self, store: &dyn ObjectStore, clock: &dyn Clock) -> Result<(), LeaseError> {
        let Some(held) = self.held.take() else {
            return NotHeldSnafu.fail();
        };
        held.guard.end();
        self.rested_at = Some(clock.now().after(self.options.cooldown_ms));
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
                // The margin again covers clocks of different speeds, here over the longest order time.
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

    /// A guard for a lease whose object does not exist. The fencing number starts above the version of the store:
    /// each takeover raises the version by at least as much as the number, so that the numbers grow even if somebody
    /// deleted the object.
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

    /// Sends one update and settles its outcome. Returns whether it took effect.
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
        self.remember(Attempt {
            update,
            sent_at,
            guard,
        });
        match store.put(&self.key, value, expected.condition()).await {
            Ok(version) => {
                self.learn(version, record, clock.now());
                Ok(true)
            }
            Err(source @ (ObjectError::Conflict { .. } | ObjectError::AnswerLost { .. })) => {
                self.read(store, clock).await?;
                self.settle(update, expected, source)
            }
            Err(source) => Err(source).context(WriteSnafu),
        }
    }

    /// Decides from the object as it was read back whether an update took effect. It is open as long as the object
    /// still has the expected version and the request may be on its way.
    fn settle(&self, update: u64, expected: Expected, source: ObjectError) -> Result<bool, LeaseError> {
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
            self.forget();
            return Ok(());
        };
        let key = &self.key;
        let record = serde_json::from_slice(&object.value).context(UnreadableSnafu { key })?;
        self.learn(object.version, record, clock.now());
        Ok(())
    }

    /// Takes note of the object's version and value. A version that is already known, or older, changes nothing, so
    /// that the observation of an unchanged object goes on.
    fn learn(&mut self, version: Version, record: LeaseRecord, now: Timestamp) {
        let known = self.observation.as_ref().map(|known| known.version);
        if known.is_some_and(|known| version <= known) {
            return;
        }
        let attempt = self.attempt_of(&record);
        // All sent updates expect an earlier version and cannot take effect any more.
        self.attempts.clear();
        self.hold(attempt, version, &record, now);
        self.observation = Some(Observation {
            version,
            record,
            since: now,
        });
    }

    fn attempt_of(&self, record: &LeaseRecord) -> Option<Attempt> {
        let is_own = self.is_own(record);
        let mut attempts = self.attempts.iter();
        attempts
            .find(|attempt| is_own && attempt.update == record.update)
            .cloned()
    }

    /// Holds the lease if the object is an update of this manager, and ends the guard otherwise.
    fn hold(&mut self, attempt: Option<Attempt>, version: Version, record: &LeaseRecord, now: Timestamp) {
        let previous = self.held.take();
        let attempt = attempt.filter(|attempt| !record.released && !attempt.guard.is_ended());
        let Some(Attempt { sent_at, guard, .. }) = attempt else {
            if let Some(previous) = previous {
                previous.guard.end();
                self.rested_at = Some(now.after(self.options.cooldown_ms));
            }
            return;
        };
        let usable_ms = record.term_ms.saturating_sub(self.options.margin_ms);
        guard.extend(sent_at.after(usable_ms));
        self.held = Some(Held { guard, version });
    }

    /// The object does not exist; only an operator deletes it.
    fn forget(&mut self) {
        self.observation = None;
        if let Some(held) = self.held.take() {
            held.guard.end();
        }
    }

    fn remember(&mut self, attempt: Attempt) {
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.remove(0);
        }
        self.attempts.push(attempt);
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
