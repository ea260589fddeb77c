//! Guards against a selection that rejects ordinary callers while untrusted clients fill the buffers of the process.

#[path = "../src/rejection.rs"]
#[allow(dead_code, reason = "the tests use a part of the module")]
mod rejection;

use std::net::{IpAddr, Ipv4Addr};

use jm_types::{ByteSize, DurationMs};
use quickcheck::{Arbitrary, Gen, quickcheck};
use rejection::{Candidate, Phase, SMALL_BYTES, select};

const STEP_MS: u64 = 100;
const LIMIT_BYTES: u64 = 44_000_000;
const ATTACK_BYTES: u64 = 8_000_000;
/// Id of the ordinary upload.
const UPLOAD: u64 = 99;

fn client(number: u8) -> Option<IpAddr> {
    Some(Ipv4Addr::new(10, 0, 0, number).into())
}

fn receiving(id: u64, address: u8, held_bytes: u64) -> Candidate {
    Candidate {
        id,
        client: client(address),
        phase: Phase::Receiving,
        held: ByteSize::new(held_bytes),
        declared: ByteSize::new(0),
        moved: ByteSize::new(held_bytes),
        age_ms: DurationMs::new(500),
        idle_ms: DurationMs::new(0),
    }
}

/// A body in the replayed load.
#[derive(Clone)]
struct Body {
    candidate: Candidate,
    starts_at_ms: u64,
    bytes_per_step: u64,
    /// Bytes after which its sender stops and stays open.
    last_byte: u64,
    is_rejected: bool,
}

type Policy = fn(&[Candidate], own: u64) -> u64;

/// Replays the load in steps. Returns the ids of the rejected bodies, and the largest memory in use.
fn replay(mut bodies: Vec<Body>, policy: Policy) -> (Vec<u64>, u64) {
    let mut peak_bytes = 0;
    for now_ms in (0..10_000).step_by(STEP_MS as usize) {
        for index in 0..bodies.len() {
            let body = &mut bodies[index];
            if body.is_rejected || now_ms < body.starts_at_ms {
                continue;
            }
            body.candidate.age_ms = DurationMs::new(now_ms - body.starts_at_ms);
            let moved = body.candidate.moved.get();
            let wanted = (moved + body.bytes_per_step).min(body.last_byte);
            if wanted == moved {
                let idle_ms = body.candidate.idle_ms.get() + STEP_MS;
                body.candidate.idle_ms = DurationMs::new(idle_ms);
                continue;
            }
            grow(&mut bodies, index, wanted, policy);
        }
        // The complete upload is handled at once, and its memory is free again.
        let complete =
            |body: &&mut Body| body.candidate.id == UPLOAD && body.candidate.moved.get() == body.last_byte;
        for body in bodies.iter_mut().filter(complete) {
            body.candidate.held = ByteSize::new(0);
            body.candidate.phase = Phase::Running;
        }
        peak_bytes = peak_bytes.max(used(&bodies));
    }
    let rejected = bodies.iter().filter(|body| body.is_rejected);
    (rejected.map(|body| body.candidate.id).collect(), peak_bytes)
}

fn used(bodies: &[Body]) -> u64 {
    let open = bodies.iter().filter(|body| !body.is_rejected);
    open.map(|body| body.candidate.held.get()).sum()
}

fn grow(bodies: &mut [Body], index: usize, wanted: u64, policy: Policy) {
    let added = wanted - bodies[index].candidate.held.get();
    while used(bodies) + added > LIMIT_BYTES {
        let open: Vec<Candidate> = bodies
            .iter()
            .filter(|body| !body.is_rejected)
            .map(|body| body.candidate.clone())
            .collect();
        let own = bodies[index].candidate.id;
        let rejected = policy(&open, own);
        for body in bodies.iter_mut().filter(|body| body.candidate.id == rejected) {
            body.is_rejected = true;
        }
        if rejected == own {
            return;
        }
    }
    let candidate = &mut bodies[index].candidate;
    candidate.held = ByteSize::new(wanted);
    candidate.moved = ByteSize::new(wanted);
    candidate.idle_ms = DurationMs::new(0);
}

fn selected(candidates: &[Candidate], own: u64) -> u64 {
    select(candidates, false).unwrap_or(own)
}

/// The naive version: whoever needs memory that is not there is refused.
fn newest(_candidates: &[Candidate], own: u64) -> u64 {
    own
}

fn body(id: u64, address: u8, starts_at_ms: u64, bytes_per_step: u64, last_byte: u64) -> Body {
    Body {
        candidate: receiving(id, address, 0),
        starts_at_ms,
        bytes_per_step,
        last_byte,
        is_rejected: false,
    }
}

/// 40 bodies of one client that stop one byte before their end, and an ordinary upload that begins later and is slower.
fn attack_and_upload() -> Vec<Body> {
    let mut bodies: Vec<Body> = (1..=40)
        .map(|id| body(id, 1, 0, 2_000_000, ATTACK_BYTES - 1))
        .collect();
    bodies.push(body(UPLOAD, 2, 600, 200_000, 6_000_000));
    bodies
}

#[test]
fn ordinary_upload_is_kept() {
    let (rejected, peak_bytes) = replay(attack_and_upload(), selected);
    assert!(!rejected.contains(&UPLOAD), "{rejected:?}");
    assert!(peak_bytes <= LIMIT_BYTES);
    let (rejected, _) = replay(attack_and_upload(), newest);
    assert!(rejected.contains(&UPLOAD), "the naive version rejects the upload");
}

#[test]
fn stalled_before_progressing() {
    let mut stalled = receiving(1, 1, 30_000_000);
    stalled.idle_ms = DurationMs::new(1_500);
    let mut slow = receiving(2, 2, 100_000);
    slow.age_ms = DurationMs::new(60_000);
    assert_eq!(select(&[slow, stalled], false), Some(1));
}

#[test]
fn client_with_many_bodies_first() {
    let mut slowest = receiving(1, 1, 1_000_000);
    slowest.age_ms = DurationMs::new(60_000);
    let many = [
        slowest,
        receiving(2, 2, 9_000_000),
        receiving(3, 2, 8_000_000),
        receiving(4, 2, 7_000_000),
    ];
    assert_eq!(select(&many, false), Some(4));
}

#[test]
fn reader_that_stopped() {
    let sending = |id, idle_ms| Candidate {
        phase: Phase::Sending,
        idle_ms: DurationMs::new(idle_ms),
        ..receiving(id, 1, 4_000_000)
    };
    assert_eq!(select(&[sending(1, 500)], true), None);
    assert_eq!(select(&[sending(1, 500), sending(2, 1_000)], true), Some(2));
}

#[derive(Debug, Clone)]
struct AnyCandidate(Candidate);

impl Arbitrary for AnyCandidate {
    fn arbitrary(g: &mut Gen) -> Self {
        let phases = [Phase::Waiting, Phase::Receiving, Phase::Running, Phase::Sending];
        let number = |g: &mut Gen, choices: &[u64]| *g.choose(choices).unwrap();
        Self(Candidate {
            id: u64::arbitrary(g),
            client: bool::arbitrary(g).then(|| client(u8::arbitrary(g) % 3)).flatten(),
            phase: *g.choose(&phases).unwrap(),
            held: ByteSize::new(number(g, &[0, 1, SMALL_BYTES, SMALL_BYTES + 1, u64::MAX])),
            declared: ByteSize::new(number(g, &[0, 1, SMALL_BYTES, SMALL_BYTES + 1, u64::MAX])),
            moved: ByteSize::new(u64::arbitrary(g)),
            age_ms: DurationMs::new(number(g, &[0, 1, 5_000, u64::MAX])),
            idle_ms: DurationMs::new(number(g, &[0, 999, 1_000, u64::MAX])),
        })
    }
}

quickcheck! {
    /// A request that may run is never rejected, nor a small body in the time in which those of ordinary callers arrive or a
    /// reader that makes progress, nor anything small for a large body.
    fn never_rejects_the_protected(candidates: Vec<AnyCandidate>, rejects_small: bool) -> bool {
        let candidates: Vec<Candidate> = candidates.into_iter().map(|any| any.0).collect();
        let Some(id) = select(&candidates, rejects_small) else {
            return true;
        };
        candidates.iter().filter(|candidate| candidate.id == id).any(|candidate| {
            let is_small = candidate.held.max(candidate.declared).get() <= SMALL_BYTES;
            let is_stalled = candidate.idle_ms.get() >= 1_000;
            let is_late = candidate.age_ms.get() >= 2_000;
            let is_rejected_body = candidate.phase == Phase::Receiving && (!is_small || is_late);
            candidate.phase != Phase::Running && (is_stalled || is_rejected_body) && (rejects_small || !is_small)
        })
    }
}
