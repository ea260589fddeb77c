//! Failure detection based on SWIM, with suspicion, refutation and updates that are piggybacked on probes.

mod receive;

use std::net::SocketAddr;

use jm_types::{DurationMs, MemberId, Revision, Timestamp};
use rand::{RngCore, seq::IteratorRandom};

use crate::{
    AppliedRevisions, Body, Datagram, DetectorOptions, Epoch, FRESHNESS_BOUND, Freshness, LoadSummary,
    LoadSummaryTable, MemberRecord, MemberState, MemberView, Update,
    probe::{ProbeSchedule, Probes, Stage},
    sync,
    update_queue::UpdateQueue,
};
use receive::Sender;

/// Maximum number of steps by which failed probes lengthen the indirect timeout of this daemon. Without the longer
/// timeout, a daemon with a bad network link would suspect every other member.
const MAX_HEALTH_PENALTY: u64 = 4;

/// Action that the caller has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Datagram to encode and send.
        datagram: Box<Datagram>,
    },
    /// Log that the state of a member changed.
    Changed {
        /// Id of the member.
        member: MemberId,
        /// New state of the member.
        state: MemberState,
    },
}

/// Detects failures of members and collects the updates, contacts and load summaries that probes exchange. It performs
/// no I/O: the caller supplies the time and sends the datagrams.
pub struct Detector {
    options: DetectorOptions,
    own: MemberRecord,
    epoch: Epoch,
    state: MemberState,
    accepted: Revision,
    view: MemberView,
    freshness: Freshness,
    applied_revisions: AppliedRevisions,
    summaries: LoadSummaryTable,
    updates: UpdateQueue,
    probes: Probes,
    probe_schedule: ProbeSchedule,
    health_penalty: u64,
    report_count: usize,
    last_tick: Option<Timestamp>,
    next_probe: Timestamp,
    next_failed_probe: Timestamp,
    next_sync: Timestamp,
}

impl Detector {
    /// Creates a detector for the daemon `own`, which has applied the revision `applied`. The daemon itself becomes a
    /// member when its own record is passed to [`Detector::register`].
    pub fn new(options: DetectorOptions, own: MemberRecord, applied: Revision) -> Self {
        Self {
            options,
            epoch: Epoch::first(own.incarnation),
            state: MemberState::Alive,
            accepted: applied,
            view: MemberView::new(own.id.clone()),
            freshness: Freshness::new(applied),
            applied_revisions: AppliedRevisions::default(),
            summaries: LoadSummaryTable::default(),
            updates: UpdateQueue::default(),
            probes: Probes::new(own.incarnation.get()),
            probe_schedule: ProbeSchedule::default(),
            health_penalty: 0,
            report_count: 0,
            last_tick: None,
            next_probe: Timestamp::default(),
            next_failed_probe: Timestamp::default(),
            next_sync: Timestamp::default(),
            own,
        }
    }

    /// View of the membership.
    pub fn view(&self) -> &MemberView {
        &self.view
    }

    /// Contacts that show whether the configuration is current.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Returns whether the configuration is known to be current at `now`.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.freshness.is_fresh(now, &self.view)
    }

    /// Revisions that the members have applied.
    pub fn applied_revisions(&self) -> &AppliedRevisions {
        &self.applied_revisions
    }

    /// Returns whether a majority of the members is known to have applied `revision`.
    pub fn is_applied_by_majority(&self, revision: Revision) -> bool {
        self.applied_revisions
            .is_applied_by_majority(revision, &self.view)
    }

    /// Returns the newest accepted revision that this daemon has learned of. If it is above the applied revision, the
    /// caller has to fetch it.
    pub fn accepted(&self) -> Revision {
        self.accepted
    }

    /// Load summaries of all members.
    pub fn summaries(&self) -> &LoadSummaryTable {
        &self.summaries
    }

    /// Adds a registration that was read from the store.
    pub fn register(&mut self, record: MemberRecord, now: Timestamp) {
        if self.view.register(record, now) {
            self.record_own_revision();
        }
    }

    /// Removes a member whose registration was deleted from the store.
    pub fn remove(&mut self, member: &MemberId) {
        if self.view.remove(member) {
            self.updates.remove(member);
            self.freshness.retain(&self.view);
            self.applied_revisions.retain(&self.view);
        }
    }

    /// Records that this daemon has applied a revision.
    pub fn set_applied(&mut self, revision: Revision) {
        self.freshness.set_applied(revision);
        self.set_accepted(revision);
        self.record_own_revision();
    }

    /// Records that a revision was accepted.
    pub fn set_accepted(&mut self, revision: Revision) {
        self.accepted = self.accepted.max(revision);
    }

    /// Records an answer of the store to a request sent at `requested_at`, with `current` as the newest accepted
    /// revision.
    pub fn record_store_contact(&mut self, requested_at: Timestamp, current: Revision) {
        self.freshness.record_store_contact(requested_at, current);
        self.set_accepted(current);
    }

    /// Publishes a load summary of this daemon.
    pub fn publish_summary(&mut self, summary: LoadSummary, now: Timestamp) {
        self.summaries.merge(summary, now);
    }

    /// Announces that this daemon is about to stop. The announcement is piggybacked on the next probes.
    pub fn leave(&mut self, now: Timestamp) {
        if self.state != MemberState::Leaving {
            self.state = MemberState::Leaving;
            self.announce_own_state(self.epoch.next(), now);
        }
    }

    /// Handles expired timeouts and returns the datagrams that are due. It must be called several times per probe
    /// interval.
    pub fn tick(&mut self, now: Timestamp, random: &mut dyn RngCore) -> Vec<Action> {
        let mut actions = Vec::new();
        self.handle_pause(now, random);
        self.expire_suspicions(now, &mut actions);
        self.send_ping_requests(now, random, &mut actions);
        self.suspect_unresponsive(now, &mut actions);
        self.start_probes(now, random, &mut actions);
        self.start_sync(now, random, &mut actions);
        self.probes.expire(now, FRESHNESS_BOUND);
        self.summaries.expire(now, self.options.summary_retention_ms);
        actions
    }

    fn complete_probe(&mut self, number: u64) {
        if let Some(probe) = self.probes.get_mut(number)
            && probe.stage != Stage::Completed
        {
            probe.stage = Stage::Completed;
            self.health_penalty = self.health_penalty.saturating_sub(1);
        }
    }

    fn announce_own_state(&mut self, epoch: Epoch, now: Timestamp) {
        self.epoch = epoch;
        let update = Update {
            member: self.own.id.clone(),
            epoch,
            state: self.state,
        };
        self.view.apply(&update, now);
        self.updates.push(update);
    }

    fn record_own_revision(&mut self) {
        if self.view.get(&self.own.id).is_some() {
            self.applied_revisions
                .record_applied(&self.own.id, self.freshness.applied());
        }
    }

    /// Cancels pending probes and restarts suspicions after a pause of this daemon, because missing answers may be due
    /// to the pause.
    fn handle_pause(&mut self, now: Timestamp, random: &mut dyn RngCore) {
        let Some(last) = self.last_tick.replace(now) else {
            let jitter = random.next_u64() % self.options.probe_interval_ms.get().max(1);
            self.next_probe = now.after(DurationMs::new(jitter));
            let jitter = random.next_u64() % self.options.sync_interval_ms.get().max(1);
            self.next_sync = now.after(DurationMs::new(jitter));
            return;
        };
        if now.since(last) > self.options.direct_timeout_ms {
            self.probes.complete_all();
            self.view.restart_suspicions(now);
        }
    }

    fn expire_suspicions(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let limit = self.suspicion_timeout();
        let is_over = |member: &MemberId| {
            self.view.get(member).is_some_and(|member| {
                member.state == MemberState::Suspected && now.since(member.since) >= limit
            })
        };
        let failed: Vec<_> = self.view.suspected().filter(is_over).collect();
        for member in failed {
            self.set_state(&member, MemberState::Failed, now, actions);
        }
    }

    /// Returns the suspicion timeout. It grows with the size of the fleet, because a refutation needs more hops to
    /// reach every member.
    fn suspicion_timeout(&self) -> DurationMs {
        let digits = (self.view.len().max(10) as f64).log10();
        DurationMs::new((self.options.suspicion_timeout_ms.get() as f64 * digits) as u64)
    }

    fn send_ping_requests(&mut self, now: Timestamp, random: &mut dyn RngCore, actions: &mut Vec<Action>) {
        let limit = self.options.direct_timeout_ms;
        for (number, target) in self.probes.pending(Stage::Direct, now, limit) {
            if let Some(probe) = self.probes.get_mut(number) {
                probe.stage = Stage::Indirect;
            }
            for (helper, address) in self.random_live_members(self.options.indirect_probes, &target, random) {
                let body = Body::PingRequest(number, target.clone());
                self.send(address, Some(&helper), body, actions);
            }
        }
    }

    fn random_live_members(
        &self,
        count: usize,
        except: &MemberId,
        random: &mut dyn RngCore,
    ) -> Vec<(MemberId, SocketAddr)> {
        let members = self.view.iter();
        let suitable = members.filter(|member| {
            let id = &member.record.id;
            member.state <= MemberState::Leaving && id != except && id != &self.own.id
        });
        suitable
            .map(|member| (member.record.id.clone(), member.record.address))
            .choose_multiple(random, count)
    }

    fn suspect_unresponsive(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let limit = self.options.indirect_timeout_ms.get() * (1 + self.health_penalty);
        for (number, target) in self.probes.pending(Stage::Indirect, now, DurationMs::new(limit)) {
            if let Some(probe) = self.probes.get_mut(number) {
                probe.stage = Stage::Completed;
            }
            self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
            if self
                .view
                .get(&target)
                .is_some_and(|member| member.state < MemberState::Suspected)
            {
                self.set_state(&target, MemberState::Suspected, now, actions);
                self.probe(&target, now, None, actions);
            }
        }
    }

    fn set_state(
        &mut self,
        member: &MemberId,
        state: MemberState,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(known) = self.view.get(member) else {
            return;
        };
        let update = Update {
            member: member.clone(),
            epoch: known.epoch,
            state,
        };
        self.apply_update(&update, now, actions);
    }

    fn start_probes(&mut self, now: Timestamp, random: &mut dyn RngCore, actions: &mut Vec<Action>) {
        if now >= self.next_probe {
            self.next_probe = next_due(self.next_probe, self.options.probe_interval_ms, now);
            if let Some(target) = self.probe_schedule.next(&self.view, random) {
                self.probe(&target, now, None, actions);
            }
        }
        if now >= self.next_failed_probe {
            self.next_failed_probe =
                next_due(self.next_failed_probe, self.options.failed_probe_interval_ms, now);
            let failed = self.view.failed().choose(random);
            if let Some(target) = failed {
                self.probe(&target, now, None, actions);
            }
        }
    }

    fn start_sync(&mut self, now: Timestamp, random: &mut dyn RngCore, actions: &mut Vec<Action>) {
        if now < self.next_sync {
            return;
        }
        self.next_sync = next_due(self.next_sync, self.options.sync_interval_ms, now);
        let own = self.own.id.clone();
        for (member, address) in self.random_live_members(1, &own, random) {
            let body = Body::Sync(sync::digests(&self.view));
            self.send(address, Some(&member), body, actions);
        }
    }

    /// Pings a member, either for this daemon or on behalf of another member.
    fn probe(
        &mut self,
        target: &MemberId,
        now: Timestamp,
        relay: Option<(SocketAddr, u64)>,
        actions: &mut Vec<Action>,
    ) {
        let Some(address) = self.view.get(target).map(|member| member.record.address) else {
            return;
        };
        let is_relayed = relay.is_some();
        let number = self.probes.open(target.clone(), now, relay);
        let body = if is_relayed {
            Body::RelayedPing(number)
        } else {
            Body::Ping(number)
        };
        self.send(address, Some(target), body, actions);
    }

    fn reply(&mut self, sender: &Sender, body: Body, actions: &mut Vec<Action>) {
        self.send(sender.address, Some(&sender.id), body, actions);
    }

    fn send(&mut self, to: SocketAddr, member: Option<&MemberId>, body: Body, actions: &mut Vec<Action>) {
        let carries_updates = matches!(body, Body::Ping(_) | Body::Ack(..) | Body::AckReply(..));
        let retransmits = self.retransmits();
        let mut datagram = Datagram {
            from: self.own.id.clone(),
            epoch: self.epoch,
            state: self.state,
            applied: self.freshness.applied(),
            accepted: self.accepted,
            body,
            updates: Vec::new(),
            summaries: Vec::new(),
        };
        datagram
            .updates
            .extend(member.and_then(|member| self.pending_refutation(member)));
        if carries_updates {
            datagram
                .updates
                .extend(self.updates.take(self.options.update_bytes, retransmits));
        }
        // Only pings, one of three datagrams in an exchange, carry summaries. In all three they would exceed the limit
        // on control traffic.
        if matches!(datagram.body, Body::Ping(_)) {
            datagram.summaries = self.summaries.take(self.options.summary_bytes, retransmits);
        }
        let datagram = Box::new(datagram);
        actions.push(Action::Send { to, datagram });
    }

    /// Returns the update that marks `member` as suspected or failed, so that the member can refute it. Returns `None`
    /// for other states.
    fn pending_refutation(&self, member: &MemberId) -> Option<Update> {
        let known = self.view.get(member)?;
        (known.state >= MemberState::Suspected).then(|| known.update())
    }

    fn retransmits(&self) -> u32 {
        let bits = (self.view.len() + 1).next_power_of_two().trailing_zeros();
        self.options.retransmit_factor * bits.max(1)
    }
}

/// Returns the next due time at a fixed interval. Intervals missed during a pause are skipped.
fn next_due(due: Timestamp, interval: DurationMs, now: Timestamp) -> Timestamp {
    let next = due.after(interval);
    if next <= now { now.after(interval) } else { next }
}
