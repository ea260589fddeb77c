//! Local replica of the configuration log in the store; see section 4.1 of `docs/design.md`.

use std::sync::{
    Arc, Mutex, PoisonError, RwLock,
    atomic::{AtomicBool, Ordering},
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    future::timeout,
    task,
};
use jm_config::{ActiveConfig, ApplyError, Change, ChangeLog, ConfigView, Document, HistoryEntry, Snapshot};
use jm_platform::{Changes, Listing, ObjectStore, Version, WatchError};
use jm_types::{DurationMs, LogEvent, Revision, Timestamp};

use crate::{
    Node, codec,
    snapshot::{SNAPSHOT_PREFIX, newest_snapshot},
};

/// Key prefix of the accepted changes in the store.
pub const CHANGE_PREFIX: &str = "config/change/";

/// Duration of one watch call. Shorter than [`crate::FRESHNESS_MS`], so that each response confirms freshness before
/// the previous confirmation expires.
const WATCH_WAIT_MS: DurationMs = DurationMs::new(1_000);

/// Timeout of a call to the store.
const STORE_TIMEOUT_MS: DurationMs = DurationMs::new(2_500);

/// Delay before a failed call to the store is retried.
const STORE_RETRY_MS: DurationMs = DurationMs::new(200);

/// Maximum number of changes that `history` returns.
const HISTORY_CHANGES: usize = 1_000;

/// The store key of the change at `revision`. Leading zeros make the keys sort by revision.
pub fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{:012}", revision.get())
}

/// The revision in the store key of a change; `None` for other keys.
pub fn change_revision(key: &str) -> Option<Revision> {
    key.strip_prefix(CHANGE_PREFIX)?.parse().ok()
}

/// Replica of the configuration log, with the configuration that is in force.
pub struct ConfigReplica {
    state: Mutex<LogState>,
    active: RwLock<Arc<ActiveConfig>>,
    subscribers: Mutex<Vec<Sender<()>>>,
    /// Send time of the newest request that the store answered.
    last_confirmed: Mutex<Option<Timestamp>>,
    loaded: AtomicBool,
}

pub(crate) struct LogState {
    pub(crate) log: ChangeLog,
    history: Vec<HistoryEntry>,
    changes: Vec<(Revision, Change)>,
}

impl ConfigReplica {
    /// Creates an empty configuration at revision 0.
    pub(crate) fn new() -> Self {
        let document = Document::default();
        let state = LogState {
            log: ChangeLog::new(),
            history: Vec::new(),
            changes: Vec::new(),
        };
        Self {
            state: Mutex::new(state),
            active: RwLock::new(ActiveConfig::compile(Revision::default(), document)),
            subscribers: Mutex::default(),
            last_confirmed: Mutex::default(),
            loaded: AtomicBool::new(false),
        }
    }

    /// The configuration in force. A request uses one such value from start to end.
    pub fn active(&self) -> Arc<ActiveConfig> {
        Arc::clone(&self.active.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The revision of the configuration in force; 0 before the first change.
    pub fn revision(&self) -> Revision {
        self.active().revision()
    }

    /// Whether the log was read from the store at least once.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::SeqCst)
    }

    /// Returns a channel that receives a message after each change of the configuration in force. Unread messages are
    /// merged into one.
    pub fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sender);
        receiver
    }

    /// The sections with their revisions, for the admin API.
    pub fn view(&self) -> ConfigView {
        self.state().log.view()
    }

    /// The latest accepted changes, newest last; at most 1,000.
    pub fn history(&self) -> Vec<HistoryEntry> {
        self.state().history.clone()
    }

    /// The changes after `revision`, for a daemon that cannot reach the store. `None` when this replica no longer holds
    /// all of them.
    pub fn changes_after(&self, revision: Revision) -> Option<Vec<(Revision, Change)>> {
        let state = self.state();
        let first = state
            .changes
            .first()
            .map_or(state.log.revision().next(), |(first, _)| *first);
        if revision.next() < first {
            return None;
        }
        Some(
            state
                .changes
                .iter()
                .filter(|(at, _)| *at > revision)
                .cloned()
                .collect(),
        )
    }

    pub(crate) fn state(&self) -> std::sync::MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the store confirmed, in response to a request sent within `limit` before `now`, that the revision is
    /// current.
    pub fn store_answered_within(&self, limit: DurationMs, now: Timestamp) -> bool {
        let answered = *self.last_confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        answered.is_some_and(|requested| now.since(requested) <= limit)
    }

    fn record_store_response(&self, requested: Timestamp) {
        *self.last_confirmed.lock().unwrap_or_else(PoisonError::into_inner) = Some(requested);
    }

    /// Applies one stored change. Ignores a change that is already applied.
    ///
    /// # Errors
    ///
    /// Fails when changes between the current revision and `revision` are missing.
    pub fn apply(&self, revision: Revision, change: &Change) -> Result<(), ApplyError> {
        self.extend_log(revision, change)?;
        self.compile();
        Ok(())
    }

    fn extend_log(&self, revision: Revision, change: &Change) -> Result<(), ApplyError> {
        let mut state = self.state();
        match state.log.apply(revision, change) {
            Ok(_) => {
                state.record(revision, change);
                Ok(())
            }
            Err(ApplyError::Older { .. }) => Ok(()),
            Err(gap) => Err(gap),
        }
    }

    /// Compiles the state of the log and puts it in force.
    fn compile(&self) {
        let (revision, document) = {
            let state = self.state();
            (state.log.revision(), state.log.document())
        };
        if revision <= self.revision() {
            return;
        }
        match document {
            Ok(document) => self.activate(ActiveConfig::compile(revision, document)),
            Err(errors) => LogEvent::ConfigUnreadable.write(format_args!("revision {revision}: {errors}")),
        }
    }

    fn activate(&self, active: Arc<ActiveConfig>) {
        {
            let mut current = self.active.write().unwrap_or_else(PoisonError::into_inner);
            // Two tasks may compile concurrently. An older revision must not replace a newer one.
            if active.revision() < current.revision() {
                return;
            }
            LogEvent::ConfigApplied.write(format_args!("revision {}", active.revision()));
            *current = active;
        }
        let mut subscribers = self.subscribers.lock().unwrap_or_else(PoisonError::into_inner);
        subscribers.retain(|subscriber| !subscriber.is_closed());
        for subscriber in subscribers.iter() {
            // A full channel already contains an unread message.
            let _ = subscriber.try_send(());
        }
    }

    /// Loads the log and watches it for changes until the process ends.
    pub async fn follow(node: Arc<Node>) {
        loop {
            match Self::load(&node).await {
                Some(version) => Self::watch(&node, version).await,
                None => task::sleep(STORE_RETRY_MS.as_std()).await,
            }
        }
    }

    /// Loads the newest snapshot and the log after it. Returns the store version from which to watch.
    async fn load(node: &Node) -> Option<Version> {
        let requested = node.now();
        if node.config.revision() == Revision::default() {
            Self::load_snapshot(node).await?;
        }
        let mut listing = Self::list(node, CHANGE_PREFIX).await?;
        if node.config.has_gap_before(&listing) {
            // The missing changes were deleted from the store. The snapshot contains them.
            Self::load_snapshot(node).await?;
            listing = Self::list(node, CHANGE_PREFIX).await?;
        }
        if node.config.has_gap_before(&listing) {
            return None;
        }
        node.config.load_history(&listing);
        let objects = listing.objects.iter();
        node.config
            .apply_objects(objects.map(|object| (object.key.as_str(), object.object.value.as_slice())));
        node.config.loaded.store(true, Ordering::SeqCst);
        node.on_store_response(requested);
        Some(listing.version)
    }

    async fn load_snapshot(node: &Node) -> Option<()> {
        let listing = Self::list(node, SNAPSHOT_PREFIX).await?;
        if let Some(snapshot) = newest_snapshot(&listing.objects) {
            node.config.restore(snapshot);
        }
        Some(())
    }

    async fn list(node: &Node, prefix: &str) -> Option<Listing> {
        let list = node.platform.objects.list(prefix);
        timeout(STORE_TIMEOUT_MS.as_std(), list).await.ok()?.ok()
    }

    fn has_gap_before(&self, listing: &Listing) -> bool {
        let first = listing
            .objects
            .first()
            .and_then(|object| change_revision(&object.key));
        first.is_some_and(|first| first > self.state().log.revision().next())
    }

    /// Creates a snapshot of the current state.
    pub fn snapshot(&self) -> Snapshot {
        self.state().log.snapshot()
    }

    /// Replaces the state by a snapshot, unless the snapshot is older.
    fn restore(&self, snapshot: Snapshot) {
        {
            let mut state = self.state();
            if snapshot.revision <= state.log.revision() {
                return;
            }
            state.log = ChangeLog::from_snapshot(snapshot);
            state.history.clear();
            state.changes.clear();
        }
        self.compile();
    }

    /// Adds the changes up to the snapshot revision that are still in the store to the history. The history also serves
    /// daemons that lag behind.
    fn load_history(&self, listing: &Listing) {
        let mut state = self.state();
        if !state.changes.is_empty() {
            return;
        }
        let contained = listing.objects.iter().filter(|object| {
            let revision = change_revision(&object.key);
            revision.is_some_and(|revision| revision <= state.log.revision())
        });
        let surplus = contained.count().saturating_sub(HISTORY_CHANGES);
        for object in listing.objects.iter().skip(surplus) {
            let revision = change_revision(&object.key);
            let Some(revision) = revision.filter(|revision| *revision <= state.log.revision()) else {
                continue;
            };
            match codec::decode(&object.object.value) {
                Ok(change) => state.record(revision, &change),
                Err(_) => {
                    // The history must not have gaps, so it starts after the last change that cannot be decoded.
                    state.history.clear();
                    state.changes.clear();
                }
            }
        }
    }

    async fn watch(node: &Node, mut after: Version) {
        loop {
            let requested = node.now();
            match Self::next_changes(node.platform.objects.as_ref(), after).await {
                Some(Ok(changes)) => {
                    let changed = changes.changes.iter();
                    node.config.apply_objects(
                        changed.filter_map(|change| Some((change.key.as_str(), change.value.as_deref()?))),
                    );
                    after = changes.version;
                    node.on_store_response(requested);
                }
                Some(Err(WatchError::Relist { .. })) => return,
                Some(Err(_)) | None => task::sleep(STORE_RETRY_MS.as_std()).await,
            }
        }
    }

    async fn next_changes(store: &dyn ObjectStore, after: Version) -> Option<Result<Changes, WatchError>> {
        let watch = store.watch(CHANGE_PREFIX, after, WATCH_WAIT_MS);
        timeout(STORE_TIMEOUT_MS.as_std(), watch).await.ok()
    }

    /// Applies stored changes and then compiles the document once. The time to compile is proportional to the size of
    /// the document, and a daemon reads a few thousand changes at its start.
    fn apply_objects<'a>(&self, objects: impl Iterator<Item = (&'a str, &'a [u8])>) {
        let before = self.state().log.revision();
        for (key, value) in objects {
            self.apply_object(key, value);
        }
        if self.state().log.revision() > before {
            self.compile();
        }
    }

    fn apply_object(&self, key: &str, value: &[u8]) {
        let revision = change_revision(key);
        if revision.is_some_and(|revision| revision <= self.state().log.revision()) {
            return;
        }
        let change = codec::decode::<Change>(value);
        match (revision, change) {
            (Some(revision), Ok(change)) => {
                if let Err(error) = self.extend_log(revision, &change) {
                    LogEvent::ConfigUnreadable.write(format_args!("object {key}: {error}"));
                }
            }
            (_, Err(error)) => LogEvent::ConfigUnreadable.write(format_args!("object {key}: {error}")),
            (None, Ok(_)) => LogEvent::ConfigUnreadable
                .write(format_args!("object {key}: the key does not contain a revision")),
        }
    }
}

impl LogState {
    fn record(&mut self, revision: Revision, change: &Change) {
        self.changes.push((revision, change.clone()));
        self.history.push(HistoryEntry {
            revision,
            change_id: change.change_id.clone(),
            author: change.author.clone(),
            sections: change.edits.iter().map(|edit| edit.section.clone()).collect(),
        });
        if self.history.len() > HISTORY_CHANGES {
            self.history.remove(0);
            self.changes.remove(0);
        }
    }
}

impl Node {
    fn on_store_response(&self, requested: Timestamp) {
        self.config.record_store_response(requested);
        let revision = self.config.revision();
        self.peers.set_own_revision(revision);
        self.metrics
            .config_revision
            .set(i64::try_from(revision.get()).unwrap_or(i64::MAX));
    }
}
