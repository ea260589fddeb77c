//! Failure detection after SWIM, with suspicion, refutation and updates that travel with the probes.

mod receive;

use std::net::SocketAddr;

use jm_types::{DurationMs, MemberId, Revision, Timestamp};
use rand::{RngCore, seq::IteratorRandom};

use crate::{
    AppliedRevisions, Body, Datagram, DetectorOptions, Epoch, FRESHNESS_BOUND, Freshness, LoadSummary,
    LoadSummaryTable, MemberRecord, MemberState, MemberView, Update,
    probe::{Probes, Rounds, Stage},
    sync,
    update_queue::UpdateQueue,
};
use receive::Sender;

/// Most steps by which failed probes lengthen the time limits of this daemon: a daemon whose own link is bad should
/// not suspect everybody.
const MAX_HEALTH_PENALTY: u64 = 4;

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// The state of a member changed; for the log.
    Changed {
        /// The member.
        member: MemberId,
        /// Its new state.
        state: MemberState,
    },
}

/// Detects failures of members and collects what travels with the probes. It has no clock and no socket.
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
    rounds: Rounds,
    health_penalty: u64,
    reports: usize,
    last_tick: Option<Timestamp>,
    next_probe: Timestamp,
    next_failed_probe: Timestamp,
    next_sync: Timestamp,
}

impl Detector {
    /// A detector for the daemon `own`, which has applied `applied`. The daemon counts as a member once it is
    /// registered like the others.
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
            rounds: Rounds::default(),
            health_penalty: 0,
            reports: 0,
            last_tick: None,
            next_probe: Timestamp::default(),
            next_failed_probe: Timestamp::default(),
            next_sync: Timestamp::default(),
            own,
        }
    }

    /// The members.
    pub fn view(&self) -> &MemberView {
        &self.view
    }

    /// The evidence that the configuration is current.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Whether the configuration is known to be current at `now`.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.freshness.is_fresh(now, &self.view)
    }

    /// Which members have applied which revision.
    pub fn applied_revisions(&self) -> &AppliedRevisions {
        &self.applied_revisions
    }

    /// Whether a majority of the members has applied `revision`.
    pub fn is_applied_by_majority(&self, revision: Revision) -> bool {
        self.applied_revisions
            .is_applied_by_majority(revision, &self.view)
    }

    /// The newest revision that is known to be accepted; above the applied one, it has to be fetched.
    pub fn accepted(&self) -> Revision {
        self.accepted
    }

    /// The load summaries.
    pub fn summaries(&self) -> &LoadSummaryTable {
        &self.summaries
    }

    /// The store has a registration.
    pub fn register(&mut self, record: MemberRecord, now: Timestamp) {
        if self.view.register(record, now) {
            self.note_own();
        }
    }

    /// The store has the registration no more.
    pub fn remove(&mut self, member: &MemberId) {
        if self.view.remove(member) {
            self.updates.remove(member);
            self.freshness.retain(&self.view);
            self.applied_revisions.retain(&self.view);
        }
    }

    /// This daemon has applied a revision.
    pub fn set_applied(&mut self, revision: Revision) {
        self.freshness.set_applied(revision);
        self.set_accepted(revision);
        self.note_own();
    }

    /// A revision is known to be accepted.
    pub fn set_accepted(&mut self, revision: Revision) {
        self.accepted = self.accepted.max(revision);
    }

    /// The store answered a request sent at `requested_at`; `current` was the newest accepted revision.
    pub fn record_store_contact(&mut self, requested_at: Timestamp, current: Revision) {
        self.freshness.record_store_contact(requested_at, current);
        self.set_accepted(current);
    }

    /// Publishes a load summary of this daemon.
    pub fn publish_summary(&mut self, summary: LoadSummary, now: Timestamp) {
        self.summaries.merge(summary, now);
    }

    /// Announces that this daemon is about to stop. The announcement travels with the next probes.
    pub fn leave(&mut self, now: Timestamp) {
        if self.state != MemberState::Leaving {
            self.state = MemberState::Leaving;
            self.state_own(self.epoch.next(), now);
        }
    }

    /// Sends what is due. Call it several times per probe interval.
    pub fn tick(&mut self, now: Timestamp, random: &mut dyn RngCore) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_pause(now, random);
        self.fail_suspected(now, &mut actions);
        self.ask_others(now, random, &mut actions);
        self.suspect_silent(now, &mut actions);
        self.start_probes(now, random, &mut actions);
        self.start_sync(now, random, &mut actions);
        self.probes.forget_before(now, FRESHNESS_BOUND);
        self.summaries.expire(now, self.options.summary_retention_ms);
        actions
    }

    fn settle(&mut self, number: u64) {
        if let Some(probe) = self.probes.get_mut(number)
            && probe.stage != Stage::Settled
        {
            probe.stage = Stage::Settled;
            self.health_penalty = self.health_penalty.saturating_sub(1);
        }
    }

    fn state_own(&mut self, epoch: Epoch, now: Timestamp) {
        self.epoch = epoch;
        let update = Update {
            member: self.own.id.clone(),
            epoch,
            state: self.state,
        };
        self.view.apply(&update, now);
        self.updates.push(update);
    }

    fn note_own(&mut self) {
        if self.view.get(&self.own.id).is_some() {
            self.applied_revisions
                .applied(&self.own.id, self.freshness.applied());
        }
    }

    /// After a pause of this daemon, the silence of others may be its own.
    fn check_pause(&mut self, now: Timestamp, random: &mut dyn RngCore) {
        let Some(last) = self.last_tick.replace(now) else {
            let spread = random.next_u64() % self.options.probe_interval_ms.get().max(1);
            self.next_probe = now.after(DurationMs::new(spread));
            let spread = random.next_u64() % self.options.sync_interval_ms.get().max(1);
            self.next_sync = now.after(DurationMs::new(spread));
            return;
        };
        if now.since(last) > self.options.direct_timeout_ms {
            self.probes.settle_all();
            self.view.restart_suspicions(now);
        }
    }

    fn fail_suspected(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let limit = self.suspicion();
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

    /// Larger fleets get more time, because a refutation needs more steps to reach everybody.
    fn suspicion(&self) -> DurationMs {
        let digits = (self.view.len().max(10) as f64).log10();
        DurationMs::new((self.options.suspicion_timeout_ms.get() as f64 * digits) as u64)
    }

    fn ask_others(&mut self, now: Timestamp, random: &mut dyn RngCore, actions: &mut Vec<Action>) {
        let limit = self.options.direct_timeout_ms;
        for (number, target) in self.probes.waiting(Stage::Direct, now, limit) {
            if let Some(probe) = self.probes.get_mut(number) {
                probe.stage = Stage::Indirect;
            }
            for (helper, address) in self.random_live(self.options.indirect_probes, &target, random) {
                let body = Body::PingRequest(number, target.clone());
                self.send(address, Some(&helper), body, actions);
            }
        }
    }

    fn random_live(
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

    fn suspect_silent(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let limit = self.options.indirect_timeout_ms.get() * (1 + self.health_penalty);
        for (number, target) in self.probes.waiting(Stage::Indirect, now, DurationMs::new(limit)) {
            if let Some(probe) = self.probes.get_mut(number) {
                probe.stage = Stage::Settled;
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
        self.take_update(&update, now, actions);
    }

    fn start_probes(&mut self, now: Timestamp, random: &mut dyn RngCore, actions: &mut Vec<Action>) {
        if now >= self.next_probe {
            self.next_probe = next_due(self.next_probe, self.options.probe_interval_ms, now);
            if let Some(target) = self.rounds.next(&self.view, random) {
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
        for (member, address) in self.random_live(1, &own, random) {
            let body = Body::Sync(sync::digests(&self.view));
            self.send(address, Some(&member), body, actions);
        }
    }

    /// Pings a member, or checks it on behalf of another member.
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
        let carries = matches!(body, Body::Ping(_) | Body::Ack(..) | Body::AckReply(..));
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
            .extend(member.and_then(|member| self.accusation(member)));
        if carries {
            datagram
                .updates
                .extend(self.updates.take(self.options.update_bytes, retransmits));
        }
        // One of three datagrams carries summaries: in all of them they would exceed the bound on control traffic.
        if matches!(datagram.body, Body::Ping(_)) {
            datagram.summaries = self.summaries.take(self.options.summary_bytes, retransmits);
        }
        let datagram = Box::new(datagram);
        actions.push(Action::Send { to, datagram });
    }

    /// What the receiver has to refute.
    fn accusation(&self, member: &MemberId) -> Option<Update> {
        let known = self.view.get(member)?;
        (known.state >= MemberState::Suspected).then(|| known.update())
    }

    fn retransmits(&self) -> u32 {
        let bits = (self.view.len() + 1).next_power_of_two().trailing_zeros();
        self.options.retransmit_factor * bits.max(1)
    }
}

/// The next due time in an even rhythm; a pause is not made up for.
fn next_due(due: Timestamp, interval: DurationMs, now: Timestamp) -> Timestamp {
    let next = due.after(interval);
    if next <= now { now.after(interval) } else { next }
}
