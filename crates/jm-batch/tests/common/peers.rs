//! Calls between the hosts of a test.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use async_trait::async_trait;
use indexmap::IndexMap;
use jm_batch::{
    BatchPeers, BatchService, BatchState, Handover, HandoverReply, ItemText, OwnerNotice, ProgressReport,
    ResultPage,
};
use jm_platform::Version;
use jm_types::{BatchId, DurationMs, MemberId};

/// Peers that do not answer unless a test connects them, like a host of the previous release. Announcements are recorded
/// for the test.
#[derive(Default)]
pub(crate) struct SilentPeers {
    pub(crate) handed_over: Mutex<Vec<(BatchState, Version, Vec<ItemText>)>>,
    /// Handovers that were sent, also to hosts that do not answer.
    pub(crate) offers: Mutex<Vec<Handover>>,
    /// Hosts that receive handovers and reports.
    pub(crate) hosts: Mutex<IndexMap<MemberId, Arc<BatchService>>>,
    /// Whether the replies to handovers are lost.
    pub(crate) loses_replies: AtomicBool,
}

#[async_trait]
impl BatchPeers for SilentPeers {
    async fn read(
        &self,
        owner: &MemberId,
        batch: &BatchId,
        after: usize,
        wait: DurationMs,
    ) -> Option<ResultPage> {
        let owner = self.hosts.lock().unwrap().get(owner).cloned()?;
        owner.read_owned(batch, after, wait).await
    }

    async fn body(&self, _owner: &MemberId, _batch: &BatchId, _item: &str) -> Option<Vec<u8>> {
        None
    }

    async fn hand_over(&self, handover: Handover) -> HandoverReply {
        self.offers.lock().unwrap().push(handover.clone());
        let next = self.hosts.lock().unwrap().get(&handover.state.owner).cloned();
        let Some(next) = next else {
            return HandoverReply::NoAnswer;
        };
        match next.accept_handover(handover) {
            _ if self.loses_replies.load(Ordering::SeqCst) => HandoverReply::NoAnswer,
            true => HandoverReply::Accepted,
            false => HandoverReply::Refused,
        }
    }

    async fn report(&self, owner: &MemberId, report: ProgressReport) -> bool {
        let next = self.hosts.lock().unwrap().get(owner).cloned();
        next.is_some_and(|next| next.receive_report(report))
    }

    async fn notify(&self, notice: OwnerNotice) {
        let hosts: Vec<Arc<BatchService>> = self.hosts.lock().unwrap().values().cloned().collect();
        for host in hosts {
            host.receive_notice(notice.clone());
        }
    }

    async fn announce(&self, state: &BatchState, version: Version, texts: Vec<ItemText>) {
        self.handed_over
            .lock()
            .unwrap()
            .push((state.clone(), version, texts));
    }
}
