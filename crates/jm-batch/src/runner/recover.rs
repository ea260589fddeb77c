//! Starts batches that earlier owners ran.

use std::sync::Arc;

use super::Runner;
use crate::{BatchResult, BatchSpec, ItemText, checkpoint::longest_texts, owned::OwnedBatch};

/// State of a batch that a new owner resumes.
pub(crate) struct RecoveredProgress {
    /// Results in the store.
    pub(crate) listed: Vec<BatchResult>,
    /// Texts that earlier owners handed over or saved.
    pub(crate) texts: Vec<ItemText>,
    /// Number of owners before this one. An owner that was killed may have counted failures that it did not save, so
    /// later owners allow fewer.
    pub(crate) earlier_owners: u32,
    /// Results that the previous owner handed over and that are not in the store.
    pub(crate) unlisted: Vec<BatchResult>,
    /// Whether the failure counts in `texts` include those of all earlier owners.
    pub(crate) has_all_failures: bool,
    /// The submitter's previous batch, if another host ran it.
    pub(crate) previous_batch: Option<PreviousBatch>,
}

/// A batch that another host ran and its submitter ended.
pub(crate) struct PreviousBatch {
    pub(crate) spec: BatchSpec,
    /// Results in the store.
    pub(crate) listed: Vec<BatchResult>,
    /// Texts in the store.
    pub(crate) texts: Vec<ItemText>,
}

impl Runner {
    /// Starts a batch that earlier owners ran, or whose stored state names this host as the owner. Returns whether it
    /// was started, see [`Self::insert`].
    pub(crate) fn start_recovered(
        self: &Arc<Self>,
        spec: Arc<BatchSpec>,
        mut recovered: RecoveredProgress,
    ) -> bool {
        let earlier = recovered.previous_batch.take();
        let earlier = earlier.map(|earlier| self.restore_previous(earlier));
        self.insert(self.recovered(spec, recovered), earlier)
    }

    pub(super) fn recovered(&self, spec: Arc<BatchSpec>, recovered: RecoveredProgress) -> OwnedBatch {
        let mut plan = self.options.plan;
        let has_all_failures = recovered.earlier_owners == 0 || recovered.has_all_failures;
        if !has_all_failures {
            plan.failure_factor = 1;
        }
        let mut owned = OwnedBatch::new(spec, recovered.listed, plan, self.now());
        owned.continue_texts(recovered.texts);
        // Nothing runs yet, so no runs are stopped.
        owned.adopt_results(recovered.unlisted);
        owned.earlier_owners = recovered.earlier_owners;
        owned.has_all_failures = has_all_failures;
        owned
    }

    fn restore_previous(&self, earlier: PreviousBatch) -> OwnedBatch {
        let spec = Arc::new(earlier.spec);
        let mut owned = OwnedBatch::new(spec, earlier.listed, self.options.plan, self.now());
        owned.continue_texts(longest_texts(earlier.texts));
        owned
    }
}
