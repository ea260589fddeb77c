//! Guards against a daemon that keeps accepting a withdrawn API key because its configuration is stale. A daemon must
//! not be fresh when a majority has applied a newer revision for longer than the freshness bound, whatever combination
//! of loss, delay, partitions and freezes occurs. Also guards against daemons that lose freshness without a fault.

#[expect(dead_code, reason = "each test file uses a part of the network")]
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
    /// A daemon applies the newest accepted revision that it has learned of.
    Apply(u8),
    /// All daemons from a drawn index on apply the newest accepted revision that they have learned of.
    ApplyMost(u8),
    Freeze(u8, u8),
    /// Partitions a number of daemons from the others.
    Partition(u8),
    BlockOneWay(u8, u8),
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
            11 => Self::Partition(a),
            12 => Self::BlockOneWay(a, b),
            13 => Self::Heal,
            14 => Self::Delay(a),
            _ => Self::Loss(a),
        }
    }
}

/// The network with the history of applied revisions.
struct Simulation {
    network: Network,
    newest: u64,
    /// For each daemon, pairs of the time at which it applied a revision and the revision.
    history: Vec<Vec<(u64, u64)>>,
    /// Time since which each daemon has been partitioned from a majority.
    isolated_since: Vec<Option<u64>>,
    fresh_checks: usize,
}

impl Simulation {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            network: Network::new(count, ZONES, seed),
            newest: 0,
            history: vec![vec![(0, 0)]; count],
            isolated_since: vec![None; count],
            fresh_checks: 0,
        }
    }

    fn count(&self) -> usize {
        self.history.len()
    }

    fn apply(&mut self, index: usize, revision: u64) {
        self.network.apply_revision(index, revision);
        self.history[index].push((self.network.now_ms, revision));
    }

    fn apply_accepted(&mut self, index: usize) {
        let accepted = self.network.nodes[index].detector.accepted().get();
        self.apply(index, accepted);
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
            Step::Apply(choice) => self.apply_accepted(index(choice)),
            Step::ApplyMost(except) => {
                let first = index(except) / 2;
                (first..count).for_each(|index| self.apply_accepted(index));
            }
            Step::Freeze(choice, time) => self.network.freeze(index(choice), u64::from(time) * 40),
            Step::Partition(size) => self.partition(index(size)),
            Step::BlockOneWay(from, to) => {
                self.network.blocked.insert((index(from), index(to)));
            }
            Step::Heal => {
                self.network.blocked.clear();
                self.isolated_since.fill(None);
            }
            Step::Delay(max) => self.network.delay_ms = (0, u64::from(max) * 10),
            Step::Loss(percent) => self.network.loss = f64::from(percent % 40) / 100.0,
        }
        Ok(())
    }

    fn partition(&mut self, size: usize) {
        let side: Vec<_> = (0..size).collect();
        self.network.partition(&side);
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
        self.fresh_checks += 1;
        let now = self.network.now_ms;
        let applied = self.revision_at(index, now);
        let bound = now.saturating_sub(FRESHNESS_BOUND.get());
        let is_ahead = |other: &usize| self.revision_at(*other, bound) > applied;
        let ahead = (0..self.count()).filter(is_ahead).count();
        if ahead > self.count() / 2 {
            return Err(format!(
                "at {now} daemon {index} is fresh at revision {applied}, but {ahead} daemons had applied a newer one"
            ));
        }
        if self.isolated_since[index].is_some_and(|since| since < bound) {
            return Err(format!("at {now} daemon {index} is fresh without a majority"));
        }
        Ok(())
    }
}

fn bound_holds(count: usize, steps: &[Step]) -> bool {
    let mut simulation = Simulation::new(count, steps.len() as u64);
    let result = steps.iter().try_for_each(|step| simulation.step(*step));
    if let Err(violation) = &result {
        eprintln!("{violation}");
    }
    result.is_ok()
}

#[test]
fn small_fleet_bound() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x6a6d_0101))
        .tests(60)
        .quickcheck((|steps| bound_holds(9, &steps)) as fn(Vec<Step>) -> bool);
}

#[test]
fn large_fleet_bound() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 0x6a6d_0102))
        .tests(12)
        .quickcheck((|steps| bound_holds(31, &steps)) as fn(Vec<Step>) -> bool);
}

/// Guards against daemons that lose freshness during an outage of the store although they reach each other.
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

/// Guards against a daemon that miscounts applied revisions. Every daemon must report a revision that all applied as
/// applied by a majority, and a revision that a minority applied as not.
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
    // Zone totals cover three quarters of the members. A bare majority is therefore visible only after each daemon had
    // contact with most members itself.
    network.run(180_000);
    assert!(
        network
            .nodes
            .iter()
            .all(|node| node.detector.is_applied_by_majority(2.into()))
    );
}
