//! Idempotency keys with a store that loses requests and responses.

use std::collections::BTreeMap;

use jm_order::{
    CreateOutcome, OrderDecision, OrderKey, OrderRecord, ReadOutcome, RequestDigest, SignedTicket, Ticket,
    TicketSecret,
};
use jm_types::{Incarnation, ResultCode, Timestamp};
use quickcheck::{Gen, QuickCheck};

/// Maximum number of store calls for one request in the model.
const MAX_CALLS: usize = 8;

fn record(serial: u64, body: &[u8]) -> OrderRecord {
    let ticket = Ticket {
        member: "m".parse().unwrap(),
        incarnation: Incarnation::new(1),
        organisation: "parish".parse().unwrap(),
        service: "desk".parse().unwrap(),
        serial,
        issued: Timestamp::new(0),
    };
    OrderRecord {
        digest: RequestDigest::of("POST", "/orders", body),
        ticket: TicketSecret::new(*b"secret").sign(ticket),
    }
}

/// A store that loses requests or responses as specified by `faults`.
struct Store {
    objects: BTreeMap<String, Vec<u8>>,
    faults: Vec<u8>,
}

impl Store {
    fn fault(&mut self) -> u8 {
        self.faults.pop().unwrap_or(0) % 4
    }

    fn create<'a>(&'a mut self, key: &str, value: Vec<u8>) -> CreateOutcome<'a> {
        let fault = self.fault();
        if fault == 1 {
            return CreateOutcome::Unavailable;
        }
        if fault == 2 {
            return CreateOutcome::Unknown;
        }
        let existed = self.objects.contains_key(key);
        let stored = self.objects.entry(key.to_owned()).or_insert(value);
        match (fault, existed) {
            (3, _) => CreateOutcome::Unknown,
            (_, true) => CreateOutcome::Exists(stored),
            (_, false) => CreateOutcome::Created,
        }
    }

    fn read(&mut self, key: &str) -> ReadOutcome<'_> {
        if self.fault() == 1 {
            return ReadOutcome::Unavailable;
        }
        match self.objects.get(key) {
            Some(value) => ReadOutcome::Found(value),
            None => ReadOutcome::Absent,
        }
    }
}

/// Handles one request with the key. Returns the ticket that it begins, or `None` if it is refused.
fn request(store: &mut Store, own: &OrderRecord) -> Option<SignedTicket> {
    let key = OrderKey::new("parish".parse().unwrap(), "slip 9").object_key();
    let mut decision = own.decide_create(store.create(&key, own.encode()));
    for _ in 0..MAX_CALLS {
        decision = match decision {
            OrderDecision::Begin(ticket) => return Some(ticket),
            OrderDecision::Refuse(_) => return None,
            OrderDecision::ReadBack => own.decide_read(store.read(&key)),
            OrderDecision::RetryCreate => own.decide_create(store.create(&key, own.encode())),
        };
    }
    None
}

fn one_ticket(faults: Vec<u8>, requests: u8) -> bool {
    let mut store = Store {
        objects: BTreeMap::new(),
        faults,
    };
    let begun: Vec<SignedTicket> = (0..u64::from(requests % 6))
        .filter_map(|serial| request(&mut store, &record(serial, b"one")))
        .collect();
    begun.windows(2).all(|pair| pair[0] == pair[1])
}

/// Guards against two tickets for one key when requests or responses are lost. All requests that begin a ticket must
/// begin the same one.
#[test]
fn lost_response() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 5))
        .tests(3_000)
        .quickcheck(one_ticket as fn(Vec<u8>, u8) -> bool);
}

/// Guards against reuse of a key with another request.
#[test]
fn other_body() {
    let stored = record(1, b"one").encode();
    let decision = record(2, b"two").decide_create(CreateOutcome::Exists(&stored));
    assert_eq!(decision, OrderDecision::Refuse(ResultCode::RequestMismatch));
}

/// Guards against orders that run while the store is unavailable.
#[test]
fn store_down() {
    let own = record(1, b"one");
    let refused = OrderDecision::Refuse(ResultCode::StoreUnavailable);
    assert_eq!(own.decide_create(CreateOutcome::Unavailable), refused);
    assert_eq!(own.decide_read(ReadOutcome::Unavailable), refused);
}

/// Guards against a malformed object that is treated as an unused key.
#[test]
fn damaged_object() {
    let own = record(1, b"one");
    for value in [&b""[..], b"order1", b"\xff\xfe", b"order2 0 t1"] {
        let decision = own.decide_create(CreateOutcome::Exists(value));
        assert_eq!(decision, OrderDecision::Refuse(ResultCode::Internal));
    }
}

/// Guards against object keys that collide between organisations, and against the text of a key in its object key.
#[test]
fn object_key() {
    let first = OrderKey::new("a".parse().unwrap(), "../x").object_key();
    let second = OrderKey::new("b".parse().unwrap(), "../x").object_key();
    assert_ne!(first, second);
    assert!(first.starts_with("order/a/"));
    assert!(!first.contains("x"), "{first}");
}

/// Guards against equal digests for different requests whose parts concatenate to the same bytes.
#[test]
fn digest_parts() {
    let digest = RequestDigest::of("POST", "/a", b"b");
    assert_ne!(digest, RequestDigest::of("POST", "/ab", b""));
    assert_eq!(digest.to_string().parse(), Ok(digest));
}
