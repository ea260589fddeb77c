//! Handling of datagrams.

use std::net::SocketAddr;

use jm_types::{MemberId, Revision, Timestamp, ZoneId};

use super::{Action, Detector};
use crate::{
    Body, ContactReport, Datagram, Update,
    report_exchange::{ReportBuilder, apply_report},
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
                self.reply(sender, Body::AckReply(return_number, evidence), actions);
            }
            Body::AckReply(number, evidence) => self.on_answer(sender, number, &evidence, actions),
            Body::RelayedPing(number) => self.reply(sender, Body::RelayedAck(number), actions),
            Body::RelayedAck(number) => self.on_answer(sender, number, &ContactReport::default(), actions),
            Body::PingRequest(number, target) => {
                self.probe(&target, now, Some((sender.address, number)), actions);
            }
            Body::IndirectAck(number) => self.settle(number),
            Body::Sync(digests) => self.on_sync(sender, &digests, now, actions),
            Body::BucketUpdates(_, updates) => {
                self.take_updates(&updates, now, actions);
                let newer = sync::newer_updates(&self.view, &updates);
                if !newer.is_empty() {
                    self.reply(sender, Body::NewerUpdates(newer), actions);
                }
            }
            Body::NewerUpdates(updates) => self.take_updates(&updates, now, actions),
        }
    }

    fn on_answer(
        &mut self,
        sender: &Sender,
        number: u64,
        evidence: &ContactReport,
        actions: &mut Vec<Action>,
    ) {
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
        self.freshness
            .record_member_contact(&sender.id, sent_at, sender.applied);
        let (freshness, applied_revisions) = (&mut self.freshness, &mut self.applied_revisions);
        apply_report(evidence, sent_at, &self.view, freshness, applied_revisions);
    }

    fn on_sync(&mut self, sender: &Sender, digests: &[u32], now: Timestamp, actions: &mut Vec<Action>) {
        let own = sync::digests(&self.view);
        // The start moves on with the time, so that one bucket that keeps changing does not hide the others.
        let start = (now.get() / self.options.sync_interval_ms.get().max(1)) as usize;
        if let Some(bucket) = sync::differing(&own, digests, start) {
            let updates = sync::bucket_updates(&self.view, bucket);
            self.reply(sender, Body::BucketUpdates(bucket, updates), actions);
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
        self.applied_revisions.applied(&message.from, message.applied);
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

    fn report(&mut self, sender: &Sender, now: Timestamp) -> ContactReport {
        self.reports = self.reports.wrapping_add(1);
        let zone_of = |id: &MemberId| self.view.get(id).map(|member| &member.record.zone);
        let zone: Option<&ZoneId> = zone_of(&sender.id).filter(|zone| **zone == self.own.zone);
        let knowledge = ReportBuilder {
            view: &self.view,
            freshness: &self.freshness,
            applied_revisions: &self.applied_revisions,
            base: self.accepted,
            now,
        };
        knowledge.report(sender.applied, zone, self.reports)
    }
}
