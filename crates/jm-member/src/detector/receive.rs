//! Handling of datagrams.

use std::net::SocketAddr;

use jm_types::{MemberId, Revision, Timestamp, ZoneId};

use super::{Action, Detector};
use crate::{
    Body, Datagram, Evidence, Update,
    report::{Knowledge, read_evidence},
    sync,
};

pub(super) struct Sender {
    pub(super) address: SocketAddr,
    pub(super) id: MemberId,
    applied: Revision,
}

impl Detector {
    /// Takes a datagram whose tag was checked, and answers it.
    pub fn on_message(&mut self, from: SocketAddr, message: Datagram, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        if message.from == self.own.id {
            return actions;
        }
        self.note_sender(from, &message, now, &mut actions);
        for update in &message.updates {
            self.take_update(update, now, &mut actions);
        }
        for summary in message.summaries {
            self.summaries.merge(summary, now);
        }
        let sender = Sender {
            address: from,
            id: message.from,
            applied: message.applied,
        };
        self.on_body(&sender, message.body, now, &mut actions);
        actions
    }

    fn on_body(&mut self, sender: &Sender, body: Body, now: Timestamp, actions: &mut Vec<Action>) {
        match body {
            Body::Ping(number) => {
                let evidence = self.report(sender, now);
                let return_number = self.probes.open_settled(sender.id.clone(), now);
                self.reply(sender, Body::Ack(number, return_number, evidence), actions);
            }
            Body::Ack(number, return_number, evidence) => {
                self.on_answer(sender, number, &evidence, actions);
                let evidence = self.report(sender, now);
                self.reply(sender, Body::Return(return_number, evidence), actions);
            }
            Body::Return(number, evidence) => self.on_answer(sender, number, &evidence, actions),
            Body::Check(number) => self.reply(sender, Body::Confirm(number), actions),
            Body::Confirm(number) => self.on_answer(sender, number, &Evidence::default(), actions),
            Body::PingRequest(number, target) => {
                self.probe(&target, now, Some((sender.address, number)), actions);
            }
            Body::IndirectAck(number) => self.settle(number),
            Body::Sync(digests) => self.on_sync(sender, &digests, now, actions),
            Body::Bucket(_, updates) => {
                self.take_updates(&updates, now, actions);
                let newer = sync::newer_updates(&self.view, &updates);
                if !newer.is_empty() {
                    self.reply(sender, Body::Newer(newer), actions);
                }
            }
            Body::Newer(updates) => self.take_updates(&updates, now, actions),
        }
    }

    fn on_answer(&mut self, sender: &Sender, number: u64, evidence: &Evidence, actions: &mut Vec<Action>) {
        let Some(probe) = self.probes.get_mut(number) else {
            return;
        };
        if probe.target != sender.id {
            return;
        }
        let (sent_at, relay) = (probe.sent_at, probe.relay.take());
        self.settle(number);
        if let Some((origin, number)) = relay {
            self.send(origin, None, Body::IndirectAck(number), actions);
        }
        if self.view.get(&sender.id).is_none() {
            return;
        }
        self.freshness.peer_answered(&sender.id, sent_at, sender.applied);
        let (freshness, in_force) = (&mut self.freshness, &mut self.in_force);
        read_evidence(evidence, sent_at, &self.view, freshness, in_force);
    }

    fn on_sync(&mut self, sender: &Sender, digests: &[u32], now: Timestamp, actions: &mut Vec<Action>) {
        let own = sync::digests(&self.view);
        // The start moves on with the time, so that one bucket that keeps changing does not hide the others.
        let start = (now.get() / self.options.sync_interval_ms.get().max(1)) as usize;
        if let Some(bucket) = sync::differing(&own, digests, start) {
            let updates = sync::bucket_updates(&self.view, bucket);
            self.reply(sender, Body::Bucket(bucket, updates), actions);
        }
    }

    fn note_sender(
        &mut self,
        from: SocketAddr,
        message: &Datagram,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        self.set_accepted(message.accepted.max(message.applied));
        let Some(known) = self.view.get(&message.from) else {
            return;
        };
        self.in_force.applied(&message.from, message.applied);
        if message.epoch.incarnation >= known.epoch.incarnation {
            self.view.set_address(&message.from, from);
        }
        let update = Update {
            member: message.from.clone(),
            epoch: message.epoch,
            state: message.state,
        };
        self.take_update(&update, now, actions);
    }

    fn take_updates(&mut self, updates: &[Update], now: Timestamp, actions: &mut Vec<Action>) {
        for update in updates {
            self.take_update(update, now, actions);
        }
    }

    pub(super) fn take_update(&mut self, update: &Update, now: Timestamp, actions: &mut Vec<Action>) {
        if update.member == self.own.id {
            self.refute(update, now);
        } else if self.view.apply(update, now) {
            self.updates.push(update.clone());
            actions.push(Action::Changed {
                member: update.member.clone(),
                state: update.state,
            });
        }
    }

    /// Answers a suspicion of this daemon with a later epoch.
    fn refute(&mut self, update: &Update, now: Timestamp) {
        let is_wrong = update.state != self.state && update.epoch >= self.epoch;
        if is_wrong && update.epoch.incarnation == self.epoch.incarnation {
            self.state_own(update.epoch.next(), now);
        }
    }

    fn report(&mut self, sender: &Sender, now: Timestamp) -> Evidence {
        self.reports = self.reports.wrapping_add(1);
        let zone_of = |id: &MemberId| self.view.get(id).map(|member| &member.record.zone);
        let zone: Option<&ZoneId> = zone_of(&sender.id).filter(|zone| **zone == self.own.zone);
        let knowledge = Knowledge {
            view: &self.view,
            freshness: &self.freshness,
            in_force: &self.in_force,
            base: self.accepted,
            now,
        };
        knowledge.report(sender.applied, zone, self.reports)
    }
}
