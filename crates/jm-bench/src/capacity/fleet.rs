//! Many detectors in one process and virtual time, with sealed datagrams, so that bytes and processor time are real.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use jm_link::FleetSecret;
use jm_member::{
    Action, Detector, DetectorOptions, MemberRecord, MemberRole, MemberState, Traffic, decode_datagram,
    encode_datagram,
};
use jm_types::{Incarnation, MemberId, Revision, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Headers of IPv4 and UDP.
pub const HEADER_BYTES: u64 = 28;

const TICK_MS: u64 = 100;

/// Delay of a datagram: within a region and between regions.
const NEAR_MS: (u64, u64) = (1, 3);
const FAR_MS: (u64, u64) = (30, 60);

enum Event {
    Tick,
    Arrive(SocketAddr, Vec<u8>),
}

struct Node {
    detector: Detector,
    record: MemberRecord,
    traffic: Traffic,
    frozen_until: u64,
}

/// A change to the failed state that one daemon saw.
#[derive(Debug, Clone)]
pub struct SeenFailure {
    /// The daemon that saw it.
    pub observer: usize,
    /// The failed member.
    pub member: MemberId,
    /// When, in milliseconds of virtual time.
    pub at_ms: u64,
}

/// The fleet.
pub struct Fleet {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Virtual time.
    pub now_ms: u64,
    /// Time spent in detectors, sealing and opening.
    pub busy: Duration,
    /// What was seen to fail.
    pub failures: Vec<SeenFailure>,
    /// Whether regions reach each other.
    pub connected: bool,
    nodes: Vec<Node>,
    zones: usize,
    by_address: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, (usize, Event)>,
    next_event: u64,
    secret: FleetSecret,
    random: StdRng,
}

/// Registration of the daemon with an index, in one of `zones` zones.
pub fn record(index: usize, zones: usize, address: SocketAddr, incarnation: u64) -> MemberRecord {
    MemberRecord {
        id: format!("daemon-{index:03}").parse().expect("a valid id"),
        role: [MemberRole::Entry, MemberRole::Dispatch, MemberRole::Control][index % 3],
        zone: format!("zone-{}", index % zones).parse().expect("a valid id"),
        address,
        incarnation: Incarnation::new(incarnation),
    }
}

fn virtual_address(index: usize) -> SocketAddr {
    let index = u16::try_from(index).expect("fewer daemons than ports");
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index))
}

impl Fleet {
    /// A fleet of `count` daemons that know each other's registrations.
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        let records: Vec<_> = (0..count)
            .map(|index| record(index, zones, virtual_address(index), 1))
            .collect();
        let mut fleet = Self {
            loss: 0.0,
            now_ms: 0,
            busy: Duration::ZERO,
            failures: Vec::new(),
            connected: true,
            nodes: Vec::new(),
            zones,
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            secret: FleetSecret::new("capacity"),
            random: StdRng::seed_from_u64(seed),
        };
        for (index, own) in records.iter().enumerate() {
            fleet.by_address.insert(own.address, index);
            fleet.nodes.push(start(own.clone(), &records, 0));
            let first = fleet.random.random_range(0..TICK_MS);
            fleet.schedule(first, index, Event::Tick);
        }
        fleet
    }

    /// Number of daemons.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// The detector of a daemon.
    pub fn detector(&mut self, index: usize) -> &mut Detector {
        &mut self.nodes[index].detector
    }

    /// The index of a member.
    pub fn index_of(&self, member: &MemberId) -> Option<usize> {
        self.nodes.iter().position(|node| &node.record.id == member)
    }

    /// Whether a daemon knows its configuration to be current.
    pub fn is_fresh(&self, index: usize) -> bool {
        self.nodes[index].detector.is_fresh(Timestamp::new(self.now_ms))
    }

    /// Traffic of all daemons together.
    pub fn traffic(&self) -> Traffic {
        let mut sum = Traffic::default();
        for node in &self.nodes {
            sum.sent_datagrams += node.traffic.sent_datagrams;
            sum.sent_bytes += node.traffic.sent_bytes;
            sum.received_datagrams += node.traffic.received_datagrams;
            sum.received_bytes += node.traffic.received_bytes;
        }
        sum
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, for_ms: u64) {
        let until = self.now_ms + for_ms;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now_ms = at;
            if let Some((index, event)) = self.events.remove(&number) {
                self.handle(index, event);
            }
        }
        self.now_ms = until;
    }

    /// Stops a daemon from running for a while; what arrives in the meantime is lost.
    pub fn freeze(&mut self, index: usize, for_ms: u64) {
        self.nodes[index].frozen_until = self.now_ms + for_ms;
    }

    /// Starts a daemon as a new run and registers it with everybody.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].record.incarnation.next().get();
        let renewed = record(index, self.zones, virtual_address(index), incarnation);
        let mut records: Vec<_> = self.nodes.iter().map(|node| node.record.clone()).collect();
        records[index] = renewed.clone();
        let traffic = self.nodes[index].traffic;
        self.nodes[index] = Node {
            traffic,
            ..start(renewed.clone(), &records, self.now_ms)
        };
        let now = Timestamp::new(self.now_ms);
        for node in &mut self.nodes {
            node.detector.register(renewed.clone(), now);
        }
    }

    /// Whether every daemon sees all others alive.
    pub fn all_seen_alive(&self) -> bool {
        self.nodes.iter().all(|node| {
            let mut members = node.detector.view().iter();
            members.all(|member| member.state == MemberState::Alive)
        })
    }

    fn schedule(&mut self, at: u64, index: usize, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, (index, event));
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = Timestamp::new(self.now_ms);
        let is_tick = matches!(event, Event::Tick);
        if now.get() >= self.nodes[index].frozen_until {
            let begin = Instant::now();
            let actions = self.actions(index, event, now);
            let datagrams = self.seal(index, actions);
            self.busy += begin.elapsed();
            for (to, bytes) in datagrams {
                self.send(index, to, bytes);
            }
        }
        if is_tick {
            self.schedule(now.get() + TICK_MS, index, Event::Tick);
        }
    }

    fn actions(&mut self, index: usize, event: Event, now: Timestamp) -> Vec<Action> {
        let node = &mut self.nodes[index];
        match event {
            Event::Tick => node.detector.tick(now, &mut self.random),
            Event::Arrive(from, bytes) => {
                node.traffic.received_datagrams += 1;
                node.traffic.received_bytes += bytes.len() as u64;
                let datagram = decode_datagram(&bytes, &self.secret).expect("sealed with the same secret");
                let actions = node.detector.on_message(from, datagram, now);
                // Each daemon caches how long it is fresh, as its agent does.
                let detector = &node.detector;
                std::hint::black_box(detector.freshness().fresh_until(now, detector.view()));
                actions
            }
        }
    }

    fn seal(&mut self, index: usize, actions: Vec<Action>) -> Vec<(SocketAddr, Vec<u8>)> {
        let mut datagrams = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, datagram } => {
                    let sealed = encode_datagram(*datagram, &self.secret);
                    datagrams.push((to, sealed.expect("a datagram that fits")));
                }
                Action::Changed {
                    member,
                    state: MemberState::Failed,
                } => {
                    self.failures.push(SeenFailure {
                        observer: index,
                        member,
                        at_ms: self.now_ms,
                    });
                }
                Action::Changed { .. } => {}
            }
        }
        datagrams
    }

    /// The region of a daemon: its zone decides.
    fn region(&self, index: usize) -> usize {
        const ZONES_PER_REGION: usize = 3;
        index % self.zones / ZONES_PER_REGION
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let traffic = &mut self.nodes[from].traffic;
        traffic.sent_datagrams += 1;
        traffic.sent_bytes += bytes.len() as u64;
        let Some(receiver) = self.by_address.get(&to).copied() else {
            return;
        };
        let is_near = self.region(from) == self.region(receiver);
        let is_cut = !self.connected && self.region(from).min(1) != self.region(receiver).min(1);
        if is_cut || self.random.random_bool(self.loss) {
            return;
        }
        let (least, most) = if is_near { NEAR_MS } else { FAR_MS };
        let at = self.now_ms + self.random.random_range(least..=most);
        let from = self.nodes[from].record.address;
        self.schedule(at, receiver, Event::Arrive(from, bytes));
    }
}

fn start(own: MemberRecord, records: &[MemberRecord], now_ms: u64) -> Node {
    let mut detector = Detector::new(DetectorOptions::default(), own.clone(), Revision::new(0));
    for record in records {
        detector.register(record.clone(), Timestamp::new(now_ms));
    }
    Node {
        detector,
        record: own,
        traffic: Traffic::default(),
        frozen_until: 0,
    }
}
