//! Open probes and the order in which members are probed.

use std::{collections::BTreeMap, net::SocketAddr};

use jm_types::{DurationMs, MemberId, Timestamp};
use rand::{RngCore, seq::SliceRandom};

use crate::MemberView;

/// How far a probe got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The member was pinged.
    Direct,
    /// Other members were asked to ping it.
    Indirect,
    /// It answered, or it was suspected. The probe is kept because a late answer still carries evidence.
    Settled,
}

/// One ping that was sent.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    pub(crate) target: MemberId,
    pub(crate) sent_at: Timestamp,
    pub(crate) stage: Stage,
    /// The member that asked for the ping, with the number of its own probe.
    pub(crate) relay: Option<(SocketAddr, u64)>,
}

/// Probes by their number. Numbers go on from the run's number, so that an answer to an earlier run does not match.
#[derive(Debug, Clone)]
pub(crate) struct Probes {
    open: BTreeMap<u64, Probe>,
    next: u64,
}

impl Probes {
    /// Numbers of a run start at a multiple of this.
    const RUN_NUMBERS: u64 = 1 << 32;

    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            open: BTreeMap::new(),
            next: incarnation.wrapping_mul(Self::RUN_NUMBERS),
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
        self.open.insert(number, probe);
        number
    }

    /// A number whose answer only carries evidence; its silence means nothing.
    pub(crate) fn open_settled(&mut self, target: MemberId, sent_at: Timestamp) -> u64 {
        let number = self.open(target, sent_at, None);
        if let Some(probe) = self.open.get_mut(&number) {
            probe.stage = Stage::Settled;
        }
        number
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut Probe> {
        self.open.get_mut(&number)
    }

    /// Own probes, with their numbers, that are at `stage` for at least `age`.
    pub(crate) fn waiting(&self, stage: Stage, now: Timestamp, age: DurationMs) -> Vec<(u64, MemberId)> {
        self.open
            .iter()
            .filter(|(_, probe)| probe.relay.is_none() && probe.stage == stage)
            .filter(|(_, probe)| now.since(probe.sent_at) >= age)
            .map(|(number, probe)| (*number, probe.target.clone()))
            .collect()
    }

    /// Settles all probes: after a pause of this daemon, silence says nothing about the others.
    pub(crate) fn settle_all(&mut self) {
        for probe in self.open.values_mut() {
            probe.stage = Stage::Settled;
        }
    }

    pub(crate) fn forget_before(&mut self, now: Timestamp, age: DurationMs) {
        self.open.retain(|_, probe| now.since(probe.sent_at) < age);
    }
}

/// Goes through the live members in a random order, again and again, so that none is left out.
#[derive(Debug, Clone, Default)]
pub(crate) struct Rounds {
    zone: Vec<MemberId>,
    all: Vec<MemberId>,
    turn: usize,
}

impl Rounds {
    /// The next member to probe; two of three are of the own zone if there are any.
    pub(crate) fn next(&mut self, view: &MemberView, random: &mut dyn RngCore) -> Option<MemberId> {
        self.turn = self.turn.wrapping_add(1);
        let own = view.own();
        let zone = view.get(own).and_then(|own| view.zone_members(&own.record.zone));
        if !self.turn.is_multiple_of(3)
            && let Some(zone) = zone
            && let Some(member) = next_live(&mut self.zone, view, random, || zone.to_vec())
        {
            return Some(member);
        }
        let everyone = || view.iter().map(|member| member.record.id.clone()).collect();
        next_live(&mut self.all, view, random, everyone)
    }
}

/// Takes the next live member off `round`; starts a new round when it is used up.
fn next_live(
    round: &mut Vec<MemberId>,
    view: &MemberView,
    random: &mut dyn RngCore,
    members: impl FnOnce() -> Vec<MemberId>,
) -> Option<MemberId> {
    let is_probed =
        |id: &MemberId| id != view.own() && view.get(id).is_some_and(|member| member.state.is_live());
    if let Some(member) = pop_matching(round, is_probed) {
        return Some(member);
    }
    *round = members();
    round.shuffle(random);
    pop_matching(round, is_probed)
}

fn pop_matching(round: &mut Vec<MemberId>, matches: impl Fn(&MemberId) -> bool) -> Option<MemberId> {
    while let Some(member) = round.pop() {
        if matches(&member) {
            return Some(member);
        }
    }
    None
}
