//! Outstanding probes and the order in which members are probed.

use std::{collections::BTreeMap, net::SocketAddr};

use jm_types::{DurationMs, MemberId, Timestamp};
use rand::{RngCore, seq::SliceRandom};

use crate::MemberView;

/// Stage of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The member was pinged directly.
    Direct,
    /// Other members were asked to ping it.
    Indirect,
    /// The member answered or was suspected. The probe is kept because a late answer still carries a contact report.
    Completed,
}

/// A ping whose answer is awaited.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    pub(crate) target: MemberId,
    pub(crate) sent_at: Timestamp,
    pub(crate) stage: Stage,
    /// Address of the member that requested the ping, and the number of its own probe.
    pub(crate) relay: Option<(SocketAddr, u64)>,
}

/// Probes by number. The numbers of each run form a separate range, so that an answer to a probe of an earlier run
/// does not match.
#[derive(Debug, Clone)]
pub(crate) struct Probes {
    probes: BTreeMap<u64, Probe>,
    next: u64,
}

impl Probes {
    /// Size of the number range of one run.
    const NUMBERS_PER_RUN: u64 = 1 << 32;

    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            probes: BTreeMap::new(),
            next: incarnation.wrapping_mul(Self::NUMBERS_PER_RUN),
        }
    }

    pub(crate) fn open(
        &mut self,
        target: MemberId,
        sent_at: Timestamp,
        relay: Option<(SocketAddr, u64)>,
    ) -> u64 {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        let probe = Probe {
            target,
            sent_at,
            stage: Stage::Direct,
            relay,
        };
        self.probes.insert(number, probe);
        number
    }

    /// Opens a probe that only requests a contact report. A missing answer has no effect on the member's state.
    pub(crate) fn open_report_request(&mut self, target: MemberId, sent_at: Timestamp) -> u64 {
        let number = self.open(target, sent_at, None);
        if let Some(probe) = self.probes.get_mut(&number) {
            probe.stage = Stage::Completed;
        }
        number
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut Probe> {
        self.probes.get_mut(&number)
    }

    /// Returns the numbers and targets of own probes in `stage` that were sent at least `age` ago.
    pub(crate) fn pending(&self, stage: Stage, now: Timestamp, age: DurationMs) -> Vec<(u64, MemberId)> {
        self.probes
            .iter()
            .filter(|(_, probe)| probe.relay.is_none() && probe.stage == stage)
            .filter(|(_, probe)| now.since(probe.sent_at) >= age)
            .map(|(number, probe)| (*number, probe.target.clone()))
            .collect()
    }

    /// Completes all probes. After a pause of this daemon, a missing answer does not indicate a failure of the probed
    /// member.
    pub(crate) fn complete_all(&mut self) {
        for probe in self.probes.values_mut() {
            probe.stage = Stage::Completed;
        }
    }

    pub(crate) fn expire(&mut self, now: Timestamp, age: DurationMs) {
        self.probes.retain(|_, probe| now.since(probe.sent_at) < age);
    }
}

/// Selects the live members in rounds of random order, so that each member is probed once in a round.
#[derive(Debug, Clone, Default)]
pub(crate) struct ProbeSchedule {
    zone: Vec<MemberId>,
    all: Vec<MemberId>,
    selections: usize,
}

impl ProbeSchedule {
    /// Returns the next member to probe. Two of three are in the own zone if it has other live members.
    pub(crate) fn next(&mut self, view: &MemberView, random: &mut dyn RngCore) -> Option<MemberId> {
        self.selections = self.selections.wrapping_add(1);
        let own = view.own();
        let zone = view.get(own).and_then(|own| view.zone_members(&own.record.zone));
        if !self.selections.is_multiple_of(3)
            && let Some(zone) = zone
            && let Some(member) = next_live(&mut self.zone, view, random, || zone.to_vec())
        {
            return Some(member);
        }
        let all_members = || view.iter().map(|member| member.record.id.clone()).collect();
        next_live(&mut self.all, view, random, all_members)
    }
}

/// Removes the next live member from `round`, and starts a new round when none is left.
fn next_live(
    round: &mut Vec<MemberId>,
    view: &MemberView,
    random: &mut dyn RngCore,
    members: impl FnOnce() -> Vec<MemberId>,
) -> Option<MemberId> {
    let is_candidate =
        |id: &MemberId| id != view.own() && view.get(id).is_some_and(|member| member.state.is_live());
    if let Some(member) = pop_matching(round, is_candidate) {
        return Some(member);
    }
    *round = members();
    round.shuffle(random);
    pop_matching(round, is_candidate)
}

fn pop_matching(round: &mut Vec<MemberId>, matches: impl Fn(&MemberId) -> bool) -> Option<MemberId> {
    while let Some(member) = round.pop() {
        if matches(&member) {
            return Some(member);
        }
    }
    None
}
