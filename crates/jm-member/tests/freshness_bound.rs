//! Guards against a daemon that serves with a withdrawn key's configuration: it must not count as fresh when a newer
//! revision has been in force for longer than the bound, whatever is lost, delayed, cut or frozen. Also guards against
//! daemons that are not fresh although nothing is wrong.

#[expect(
    dead_code,
    reason = "the network serves several test files; none uses all of it"
)]
mod network;

use jm_member::FRESHNESS_BOUND;
use network::Network;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const ZONES: usize = 3;
const STEP_MS: u64 = 100;

#[derive(Debug, Clone, Copy)]
enum Step {
    Wait(u8),
    /// A daemon accepts the next revision.
    Accept(u8),
    /// A daemon applies the newest revision that it knows of.
    Apply(u8),
    /// Everybody except some daemons applies what it knows of.
    ApplyMost(u8),
    Freeze(u8, u8),
    /// Cuts a number of daemons off from the others.
    CutOff(u8),
    CutOneWay(u8, u8),
    Heal,
    Delay(u8),
    Loss(u8),
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let (kind, a, b) = <(u8, u8, u8)>::arbitrary(source);
        match kind % 16 {
            0..=5 => Self::Wait(a),
            6 => Self::Accept(a),
            7..=8 => Self::Apply(a),
            9 => Self::ApplyMost(a),
            10 => Self::Freeze(a, b),
            11 => Self::CutOff(a),
            12 => Self::CutOneWay(a, b),
            13 => Self::Heal,
            14 => Self::Delay(a),
            _ => Self::Loss(a),
        }
    }
}

/// The network with the history of applied revisions.
struct Trial {
    network: Network,
    newest: u64,
    /// For each daemon its revisions with the time at which it applied them.
    history: Vec<Vec<(u64, u64)>>,
    /// Since when each daemon is cut off from a majority.
    isolated_since: Vec<Option<u64>>,
    claims: usize,
}

impl Trial {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            network: Network::new(count, ZONES, seed),
            newest: 0,
            history: vec![vec![(0, 0)]; count],
            isolated_since: vec![None; count],
            claims: 0,
        }
    }

    fn count(&self) -> usize {
        self.history.len()
    }

    fn apply(&mut self, index: usize, revision: u64) {
        self.network.apply_revision(index, revision);
        self.history[index].push((self.network.now_ms, revision));
    }

    fn apply_known(&mut self, index: usize) {
        let known = self.network.nodes[index].detector.accepted().get();
        self.apply(index, known);
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        let count = self.count();
        let index = |choice: u8| usize::from(choice) % count;
        match step {
            Step::Wait(time) => return self.wait(u64::from(time) * 20),
            Step::Accept(choice) => {
                self.newest += 1;
                self.apply(index(choice), self.newest);
            }
            Step::Apply(choice) => self.apply_known(index(choice)),
            Step::ApplyMost(except) => {
                let behind = index(except) / 2;
                (behind..count).for_each(|index| self.apply_known(index));
            }
            Step::Freeze(choice, time) => self.network.freeze(index(choice), u64::from(time) * 40),
            Step::CutOff(size) => self.cut_off(index(size)),
            Step::CutOneWay(from, to) => {
                self.network.cuts.insert((index(from), index(to)));
            }
            Step::Heal => {
                self.network.cuts.clear();
                self.isolated_since.fill(None);
            }
            Step::Delay(most) => self.network.delay_ms = (0, u64::from(most) * 10),
            Step::Loss(percent) => self.network.loss = f64::from(percent % 40) / 100.0,
        }
        Ok(())
    }

    fn cut_off(&mut self, size: usize) {
        let side: Vec<_> = (0..size).collect();
        self.network.cut_off(&side);
        if size * 2 < self.count() {
            for index in side {
                self.isolated_since[index].get_or_insert(self.network.now_ms);
            }
        }
    }

    fn wait(&mut self, for_ms: u64) -> Result<(), String> {
        for _ in 0..for_ms.div_ceil(STEP_MS) {
            self.network.run(STEP_MS);
            (0..self.count()).try_for_each(|index| self.check(index))?;
        }
        Ok(())
    }

    fn revision_at(&self, index: usize, time: u64) -> u64 {
        let until = self.history[index].iter().filter(|(at, _)| *at <= time);
        until.map(|(_, revision)| *revision).max().unwrap_or(0)
    }

    fn check(&mut self, index: usize) -> Result<(), String> {
        if !self.network.is_fresh(index) {
            return Ok(());
        }
        self.claims += 1;
        let now = self.network.now_ms;
        let applied = self.revision_at(index, now);
        let bound = now.saturating_sub(FRESHNESS_BOUND.get());
        let behind = |other: &usize| self.revision_at(*other, bound) > applied;
        let ahead = (0..self.count()).filter(behind).count();
        if ahead > self.count() / 2 {
            return Err(format!(
                "at {now} daemon {index} is fresh at {applied}; {ahead} were ahead"
            ));
        }
        if self.isolated_since[index].is_some_and(|since| since < bound) {
            return Err(format!("at {now} daemon {index} is fresh without a majority"));
        }
        Ok(())
    }
}

fn holds(count: usize, steps: &[Step]) -> bool {
    let mut trial = Trial::new(count, steps.len() as u64);
    let result = steps.iter().try_for_each(|step| trial.step(*step));
    if let Err(fault) = &result {
        eprintln!("{fault}");
    }
    result.is_ok()
}

#[test]
fn small_fleet_bound() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x6a6d_0101))
        .tests(60)
        .quickcheck((|steps| holds(9, &steps)) as fn(Vec<Step>) -> bool);
}

#[test]
fn large_fleet_bound() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 0x6a6d_0102))
        .tests(12)
        .quickcheck((|steps| holds(31, &steps)) as fn(Vec<Step>) -> bool);
}

/// Without the store, daemons that reach each other stay fresh.
#[test]
fn store_outage() {
    for (count, zones) in [(9, 3), (100, 11)] {
        let mut network = Network::new(count, zones, 8);
        network.run(5_000);
        for _ in 0..100 {
            network.run(STEP_MS);
            let fresh = (0..count).filter(|index| network.is_fresh(*index)).count();
            assert_eq!(fresh, count, "{count} daemons at {} ms", network.now_ms);
        }
    }
}

/// A revision that everybody applied is in force, in everybody's view, and one that a minority applied is not.
#[test]
fn revision_in_force() {
    let mut network = Network::new(45, 3, 9);
    network.run(3_000);
    for index in 0..45 {
        network.apply_revision(index, if index < 22 { 2 } else { 1 });
    }
    network.run(6_000);
    for node in &network.nodes {
        assert!(node.detector.is_applied_by_majority(1.into()));
        assert!(!node.detector.is_applied_by_majority(2.into()));
        assert_eq!(node.detector.accepted(), 2.into());
    }
    network.apply_revision(22, 2);
    // The totals of zones leave a quarter of the members out, so that a bare majority shows only after each daemon was
    // in contact with most others itself.
    network.run(180_000);
    assert!(
        network
            .nodes
            .iter()
            .all(|node| node.detector.is_applied_by_majority(2.into()))
    );
}
