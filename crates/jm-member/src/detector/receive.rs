//! Handling of received datagrams.

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
    /// Handles a datagram whose tag was verified, and returns the answers to send.
    pub fn on_message(&mut self, from: SocketAddr, message: Datagram, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        if message.from == self.own.id {
            return actions;
        }
        self.record_sender(from, &message, now, &mut actions);
        for update in &message.updates {
            self.apply_update(update, now, &mut actions);
        }
        for summary in message.summaries {
            self.summaries.merge(summary, now);
        }
        let sender = Sender {
            address: from,
            id: message.from,
            applied: message.applied,
        };
        self.handle_body(&sender, message.body, now, &mut actions);
        actions
    }

    fn handle_body(&mut self, sender: &Sender, body: Body, now: Timestamp, actions: &mut Vec<Action>) {
        match body {
            Body::Ping(number) => {
                let report = self.build_report(sender, now);
                let return_number = self.probes.open_report_request(sender.id.clone(), now);
                self.reply(sender, Body::Ack(number, return_number, report), actions);
            }
            Body::Ack(number, return_number, report) => {
                self.handle_answer(sender, number, &report, actions);
                let report = self.build_report(sender, now);
                self.reply(sender, Body::AckReply(return_number, report), actions);
            }
            Body::AckReply(number, report) => self.handle_answer(sender, number, &report, actions),
            Body::RelayedPing(number) => self.reply(sender, Body::RelayedAck(number), actions),
            Body::RelayedAck(number) => {
                self.handle_answer(sender, number, &ContactReport::default(), actions)
            }
            Body::PingRequest(number, target) => {
                self.probe(&target, now, Some((sender.address, number)), actions);
            }
            Body::IndirectAck(number) => self.complete_probe(number),
            Body::Sync(digests) => self.handle_sync(sender, &digests, now, actions),
            Body::BucketUpdates(_, updates) => {
                self.apply_updates(&updates, now, actions);
                let newer = sync::newer_updates(&self.view, &updates);
                if !newer.is_empty() {
                    self.reply(sender, Body::NewerUpdates(newer), actions);
                }
            }
            Body::NewerUpdates(updates) => self.apply_updates(&updates, now, actions),
        }
    }

    fn handle_answer(
        &mut self,
        sender: &Sender,
        number: u64,
        report: &ContactReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(probe) = self.probes.get_mut(number) else {
            return;
        };
        if probe.target != sender.id {
            return;
        }
        let (sent_at, relay) = (probe.sent_at, probe.relay.take());
        self.complete_probe(number);
        if let Some((origin, number)) = relay {
            self.send(origin, None, Body::IndirectAck(number), actions);
        }
        if self.view.get(&sender.id).is_none() {
            return;
        }
        self.freshness
            .record_member_contact(&sender.id, sent_at, sender.applied);
        let (freshness, applied_revisions) = (&mut self.freshness, &mut self.applied_revisions);
        apply_report(report, sent_at, &self.view, freshness, applied_revisions);
    }

    fn handle_sync(&mut self, sender: &Sender, digests: &[u32], now: Timestamp, actions: &mut Vec<Action>) {
        let own = sync::digests(&self.view);
        // The first bucket compared rotates over time, so that a bucket that changes constantly does not prevent the
        // synchronisation of the others.
        let start = (now.get() / self.options.sync_interval_ms.get().max(1)) as usize;
        if let Some(bucket) = sync::first_differing_bucket(&own, digests, start) {
            let updates = sync::bucket_updates(&self.view, bucket);
            self.reply(sender, Body::BucketUpdates(bucket, updates), actions);
        }
    }

    fn record_sender(
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
        self.applied_revisions
            .record_applied(&message.from, message.applied);
        if message.epoch.incarnation >= known.epoch.incarnation {
            self.view.set_address(&message.from, from);
        }
        let update = Update {
            member: message.from.clone(),
            epoch: message.epoch,
            state: message.state,
        };
        self.apply_update(&update, now, actions);
    }

    fn apply_updates(&mut self, updates: &[Update], now: Timestamp, actions: &mut Vec<Action>) {
        for update in updates {
            self.apply_update(update, now, actions);
        }
    }

    pub(super) fn apply_update(&mut self, update: &Update, now: Timestamp, actions: &mut Vec<Action>) {
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

    /// Refutes a suspicion of this daemon by announcing its state in a later epoch.
    fn refute(&mut self, update: &Update, now: Timestamp) {
        let is_wrong = update.state != self.state && update.epoch >= self.epoch;
        if is_wrong && update.epoch.incarnation == self.epoch.incarnation {
            self.announce_own_state(update.epoch.next(), now);
        }
    }

    fn build_report(&mut self, sender: &Sender, now: Timestamp) -> ContactReport {
        self.report_count = self.report_count.wrapping_add(1);
        let zone_of = |id: &MemberId| self.view.get(id).map(|member| &member.record.zone);
        let zone: Option<&ZoneId> = zone_of(&sender.id).filter(|zone| **zone == self.own.zone);
        let builder = ReportBuilder {
            view: &self.view,
            freshness: &self.freshness,
            applied_revisions: &self.applied_revisions,
            base: self.accepted,
            now,
        };
        builder.build(sender.applied, zone, self.report_count)
    }
}
