//! A deterministic simulated network in virtual time, with loss, delay, one-way blocks, freezes and restarts.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    net::SocketAddr,
};

use jm_member::{Action, Datagram, Detector, DetectorOptions, MemberRecord, MemberRole, MemberState};
use jm_types::{DurationMs, Incarnation, MemberId, Revision, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Interval between two ticks of a daemon.
pub(crate) const TICK_MS: u64 = 100;

/// The clock of each daemon has a different multiple of this offset, so that a test fails when timestamps of different
/// daemons are confused.
const CLOCK_OFFSET_MS: u64 = 1_000_000;

enum Event {
    Tick,
    Arrive(SocketAddr, Box<Datagram>),
}

/// One daemon.
pub(crate) struct Node {
    pub(crate) detector: Detector,
    pub(crate) record: MemberRecord,
    random: StdRng,
    clock_offset: u64,
    frozen_until: u64,
    stopped: bool,
    /// Datagrams that arrived during a freeze.
    queued_datagrams: Vec<(SocketAddr, Box<Datagram>)>,
}

impl Node {
    pub(crate) fn now(&self, true_ms: u64) -> Timestamp {
        Timestamp::new(self.clock_offset + true_ms)
    }
}

/// The daemons and the datagrams in flight between them.
pub(crate) struct Network {
    pub(crate) nodes: Vec<Node>,
    pub(crate) loss: f64,
    pub(crate) delay_ms: (u64, u64),
    pub(crate) now_ms: u64,
    /// Directions, as (sender, receiver), in which every datagram is lost.
    pub(crate) blocked: HashSet<(usize, usize)>,
    /// Changes to the failed state: (observer, member, time in ms).
    pub(crate) failures: Vec<(usize, MemberId, u64)>,
    by_address: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, (usize, Event)>,
    next_event: u64,
    random: StdRng,
}

fn record(index: usize, zones: usize, incarnation: u64) -> MemberRecord {
    let port = u16::try_from(10_000 + index).expect("a port");
    MemberRecord {
        id: format!("daemon-{index}").parse().expect("a valid id"),
        role: [MemberRole::Entry, MemberRole::Dispatch, MemberRole::Control][index % 3],
        zone: format!("zone-{}", index % zones).parse().expect("a valid id"),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        incarnation: Incarnation::new(incarnation),
    }
}

impl Network {
    pub(crate) fn new(count: usize, zones: usize, seed: u64) -> Self {
        let records: Vec<_> = (0..count).map(|index| record(index, zones, 1)).collect();
        let mut network = Self {
            nodes: Vec::new(),
            loss: 0.0,
            delay_ms: (1, 4),
            now_ms: 0,
            blocked: HashSet::new(),
            failures: Vec::new(),
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            random: StdRng::seed_from_u64(seed),
        };
        for (index, own) in records.iter().enumerate() {
            network.by_address.insert(own.address, index);
            network.nodes.push(node(index, own.clone(), &records, seed));
            let first = network.random.random_range(0..TICK_MS);
            network.schedule(first, index, Event::Tick);
        }
        network
    }

    fn schedule(&mut self, at: u64, node: usize, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, (node, event));
    }

    pub(crate) fn run(&mut self, for_ms: u64) {
        let until = self.now_ms + for_ms;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now_ms = at;
            if let Some((node, event)) = self.events.remove(&number) {
                self.handle(node, event);
            }
        }
        self.now_ms = until;
    }

    fn handle(&mut self, index: usize, event: Event) {
        let true_ms = self.now_ms;
        let node = &mut self.nodes[index];
        let now = node.now(true_ms);
        let frozen = true_ms < node.frozen_until || node.stopped;
        match event {
            Event::Tick if frozen => self.schedule(true_ms + TICK_MS, index, Event::Tick),
            Event::Tick => {
                let queued_datagrams = std::mem::take(&mut node.queued_datagrams);
                let mut actions = node.detector.tick(now, &mut node.random);
                for (from, datagram) in queued_datagrams {
                    actions.extend(node.detector.on_message(from, *datagram, now));
                }
                self.perform(index, actions);
                self.schedule(true_ms + TICK_MS, index, Event::Tick);
            }
            Event::Arrive(from, datagram) if frozen => {
                if !node.stopped {
                    node.queued_datagrams.push((from, datagram));
                }
            }
            Event::Arrive(from, datagram) => {
                let actions = node.detector.on_message(from, *datagram, now);
                self.perform(index, actions);
            }
        }
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(index, to, datagram),
                Action::Changed { member, state } => {
                    if state == MemberState::Failed {
                        self.failures.push((index, member, self.now_ms));
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Box<Datagram>) {
        let Some(receiver) = self.by_address.get(&to).copied() else {
            return;
        };
        if self.blocked.contains(&(from, receiver)) || self.random.random_bool(self.loss) {
            return;
        }
        let delay = self.random.random_range(self.delay_ms.0..=self.delay_ms.1);
        let from = self.nodes[from].record.address;
        self.schedule(self.now_ms + delay, receiver, Event::Arrive(from, datagram));
    }

    /// Freezes a daemon. Datagrams queue in its socket until it resumes.
    pub(crate) fn freeze(&mut self, index: usize, for_ms: u64) {
        self.nodes[index].frozen_until = self.now_ms + for_ms;
    }

    pub(crate) fn stop(&mut self, index: usize) {
        self.nodes[index].stopped = true;
    }

    /// Restarts a stopped daemon as a new run, and registers it with all daemons.
    pub(crate) fn restart(&mut self, index: usize) {
        let old = &self.nodes[index].record;
        let incarnation = old.incarnation.next();
        let record = MemberRecord {
            incarnation,
            ..old.clone()
        };
        let mut records: Vec<_> = self.nodes.iter().map(|node| node.record.clone()).collect();
        records[index] = record.clone();
        let seed = self.random.random();
        let mut started = node(index, record.clone(), &records, seed);
        for known in &records {
            started.detector.register(known.clone(), started.now(self.now_ms));
        }
        self.nodes[index] = started;
        for node in &mut self.nodes {
            let now = node.now(self.now_ms);
            node.detector.register(record.clone(), now);
        }
    }

    /// Blocks both directions between the daemons in `side` and all others.
    pub(crate) fn partition(&mut self, side: &[usize]) {
        for inner in side {
            for outer in (0..self.nodes.len()).filter(|index| !side.contains(index)) {
                self.blocked.insert((*inner, outer));
                self.blocked.insert((outer, *inner));
            }
        }
    }

    pub(crate) fn apply_revision(&mut self, index: usize, revision: u64) {
        self.nodes[index].detector.set_applied(Revision::new(revision));
    }

    pub(crate) fn is_fresh(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.detector.is_fresh(node.now(self.now_ms))
    }

    pub(crate) fn state(&self, observer: usize, member: usize) -> MemberState {
        let id = &self.nodes[member].record.id;
        let view = self.nodes[observer].detector.view();
        view.get(id).expect("every daemon is registered").state
    }

    /// Returns whether every running daemon has marked exactly the stopped ones as failed.
    pub(crate) fn views_agree(&self) -> bool {
        let running = |index: &usize| !self.nodes[*index].stopped;
        let mut pairs = (0..self.nodes.len())
            .filter(running)
            .flat_map(|observer| (0..self.nodes.len()).map(move |member| (observer, member)));
        pairs.all(|(observer, member)| {
            let failed = self.state(observer, member) == MemberState::Failed;
            failed == self.nodes[member].stopped
        })
    }
}

fn node(index: usize, own: MemberRecord, records: &[MemberRecord], seed: u64) -> Node {
    let clock_offset = CLOCK_OFFSET_MS * (index as u64 + 1);
    let mut detector = Detector::new(DetectorOptions::default(), own.clone(), Revision::new(0));
    for record in records {
        detector.register(record.clone(), Timestamp::new(clock_offset));
    }
    Node {
        detector,
        record: own,
        random: StdRng::seed_from_u64(seed ^ (index as u64) << 20),
        clock_offset,
        frozen_until: 0,
        stopped: false,
        queued_datagrams: Vec::new(),
    }
}

/// Returns the limit of failure detection in ms of virtual time. It covers direct and indirect probes, the suspicion
/// timeout and dissemination.
pub(crate) fn detection_limit(members: usize) -> u64 {
    let options = DetectorOptions::default();
    let digits = (members.max(10) as f64).log10();
    let suspicion = (options.suspicion_timeout_ms.get() as f64 * digits) as u64;
    let probes_and_dissemination = DurationMs::new(12_000);
    suspicion + probes_and_dissemination.get()
}
