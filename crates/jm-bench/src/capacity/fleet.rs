//! Many failure detectors in one process and in virtual time. They exchange sealed datagrams, so that measured bytes
//! and CPU time are realistic.

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

/// Size of the IPv4 and UDP headers of a datagram.
pub const HEADER_BYTES: u64 = 28;

const TICK_MS: u64 = 100;

/// Minimum and maximum delay of a datagram within a region.
const REGION_DELAY_MS: (u64, u64) = (1, 3);
/// Minimum and maximum delay of a datagram between regions.
const REMOTE_DELAY_MS: (u64, u64) = (30, 60);

enum Event {
    Tick,
    Receive(SocketAddr, Vec<u8>),
}

struct Node {
    detector: Detector,
    record: MemberRecord,
    traffic: Traffic,
    suspended_until_ms: u64,
}

/// A member's change to the failed state in the view of one daemon.
#[derive(Debug, Clone)]
pub struct ObservedFailure {
    /// Index of the daemon whose view changed.
    pub observer: usize,
    /// The member that the observer presumes failed.
    pub member: MemberId,
    /// Virtual time of the change in milliseconds.
    pub at_ms: u64,
}

/// A simulated fleet of daemons.
pub struct Fleet {
    /// Probability from 0 to 1 that a datagram is lost.
    pub loss: f64,
    /// Virtual time in milliseconds.
    pub now_ms: u64,
    /// Real time spent in detectors and in encoding and decoding datagrams.
    pub busy: Duration,
    /// All observed failures since the start, including false alarms.
    pub failures: Vec<ObservedFailure>,
    /// Whether the first region and the others can exchange datagrams. `false` simulates a network partition.
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

/// Membership record of daemon number `index`. Roles and the `zones` zones are assigned round-robin.
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
    /// Creates a fleet of `count` daemons that all have each other's membership records.
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

    /// Number of daemons in the fleet.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Failure detector of the daemon with this index.
    pub fn detector(&mut self, index: usize) -> &mut Detector {
        &mut self.nodes[index].detector
    }

    /// Index of a member; `None` when it is not in the fleet.
    pub fn index_of(&self, member: &MemberId) -> Option<usize> {
        self.nodes.iter().position(|node| &node.record.id == member)
    }

    /// Whether the configuration of the daemon is confirmed as current.
    pub fn is_fresh(&self, index: usize) -> bool {
        self.nodes[index].detector.is_fresh(Timestamp::new(self.now_ms))
    }

    /// Sum of the traffic of all daemons, without IPv4 and UDP headers.
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

    /// Simulates the next `for_ms` milliseconds.
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

    /// Suspends a daemon for `for_ms` milliseconds. Datagrams that arrive during this time are lost.
    pub fn suspend(&mut self, index: usize, for_ms: u64) {
        self.nodes[index].suspended_until_ms = self.now_ms + for_ms;
    }

    /// Restarts a daemon with a new incarnation and registers it with all daemons.
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

    /// Whether all members are alive in the view of every daemon.
    pub fn all_observed_alive(&self) -> bool {
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
        if now.get() >= self.nodes[index].suspended_until_ms {
            let start_time = Instant::now();
            let actions = self.actions(index, event, now);
            let datagrams = self.seal(index, actions);
            self.busy += start_time.elapsed();
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
            Event::Receive(from, bytes) => {
                node.traffic.received_datagrams += 1;
                node.traffic.received_bytes += bytes.len() as u64;
                let datagram = decode_datagram(&bytes, &self.secret).expect("sealed with the same secret");
                let actions = node.detector.on_message(from, datagram, now);
                // Includes the cost of computing the freshness deadline, which an agent caches after each message.
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
                    self.failures.push(ObservedFailure {
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

    /// The region of a daemon, derived from its zone.
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
        let is_same_region = self.region(from) == self.region(receiver);
        let is_partitioned = !self.connected && self.region(from).min(1) != self.region(receiver).min(1);
        if is_partitioned || self.random.random_bool(self.loss) {
            return;
        }
        let (min, max) = if is_same_region {
            REGION_DELAY_MS
        } else {
            REMOTE_DELAY_MS
        };
        let at = self.now_ms + self.random.random_range(min..=max);
        let from = self.nodes[from].record.address;
        self.schedule(at, receiver, Event::Receive(from, bytes));
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
        suspended_until_ms: 0,
    }
}
