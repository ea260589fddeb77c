//! Guards against holders that alternate faster than the platform permits, and against a lease that
//! stays unused although its holder has restarted.

use async_std::task;
use jm_lease::{Acquisition, Duty, LeaseManager, LeaseOptions};
use jm_platform::MemoryPlatform;
use jm_types::{Clock, DurationMs, Incarnation, ManualClock};

const TERM_MS: u64 = 2_000;
const COOLDOWN_MS: u64 = 3_500;

fn manager(holder: &str, incarnation: u64) -> LeaseManager {
    let holder = holder.parse().expect("a valid id");
    let mut options = LeaseOptions::new(Duty::Fleet, holder, Incarnation::new(incarnation));
    options.term_ms = DurationMs::new(TERM_MS);
    options.margin_ms = DurationMs::new(400);
    options.longest_order_ms = DurationMs::new(800);
    options.single_instance = true;
    options.cooldown_ms = DurationMs::new(COOLDOWN_MS);
    LeaseManager::new(options).expect("consistent options")
}

async fn is_held(manager: &mut LeaseManager, store: &MemoryPlatform, clock: &ManualClock) -> bool {
    let acquired = manager.acquire(store, clock).await.expect("the store answers");
    matches!(acquired, Acquisition::Held(guard) if guard.is_valid(clock.now()))
}

fn advance(clock: &ManualClock, ms: u64) {
    clock.advance(DurationMs::new(ms));
}

/// Guards against a restarted holder that waits for its own term. It takes over at once with a larger fencing number.
#[test]
fn new_run_of_the_holder() {
    task::block_on(async {
        let (store, clock) = (MemoryPlatform::default(), ManualClock::default());
        let mut first = manager("host-a", 1);
        assert!(is_held(&mut first, &store, &clock).await);
        let before = first.guard().expect("held").fencing();
        advance(&clock, 500);
        let mut second = manager("host-a", 2);
        assert!(is_held(&mut second, &store, &clock).await);
        let guard = second.guard().expect("held");
        assert!(guard.fencing() > before);
        assert!(
            guard.orders_allowed_at() > clock.now(),
            "an order of the previous run may still take effect"
        );
    });
}

/// Guards against a newly started host that takes the lease over within its cooldown, even if the term ends earlier.
#[test]
fn cooldown_after_start() {
    task::block_on(async {
        let (store, clock) = (MemoryPlatform::default(), ManualClock::default());
        assert!(is_held(&mut manager("host-a", 1), &store, &clock).await);
        advance(&clock, 10);
        let mut other = manager("host-b", 1);
        assert!(!is_held(&mut other, &store, &clock).await);
        advance(&clock, TERM_MS + 100);
        assert!(
            !is_held(&mut other, &store, &clock).await,
            "the term has ended, the cooldown has not"
        );
        advance(&clock, COOLDOWN_MS - TERM_MS);
        assert!(is_held(&mut other, &store, &clock).await);
    });
}

/// Guards against a host that has run for long and waits out a cooldown when it becomes a candidate. While hosts are
/// restarted in turn, the lease would stay without a holder for that time.
#[test]
fn late_candidate() {
    task::block_on(async {
        let (store, clock) = (MemoryPlatform::default(), ManualClock::default());
        let mut other = manager("host-b", 1);
        other.start_cooldown(clock.now());
        advance(&clock, COOLDOWN_MS);
        assert!(is_held(&mut manager("host-a", 1), &store, &clock).await);
        assert!(
            !is_held(&mut other, &store, &clock).await,
            "the term has not ended"
        );
        advance(&clock, TERM_MS);
        assert!(is_held(&mut other, &store, &clock).await);
    });
}

/// Guards against a holder that lost the lease and takes it back within its cooldown, even if the lease is released.
#[test]
fn no_alternation() {
    task::block_on(async {
        let (store, clock) = (MemoryPlatform::default(), ManualClock::default());
        let (mut a, mut b) = (manager("host-a", 1), manager("host-b", 1));
        assert!(is_held(&mut a, &store, &clock).await);
        assert!(!is_held(&mut b, &store, &clock).await);
        advance(&clock, COOLDOWN_MS + 1);
        assert!(
            is_held(&mut b, &store, &clock).await,
            "the first holder did not renew"
        );
        assert!(!is_held(&mut a, &store, &clock).await);
        b.release(&store, &clock).await.expect("the store answers");
        advance(&clock, COOLDOWN_MS - 1);
        assert!(!is_held(&mut a, &store, &clock).await);
        advance(&clock, 1);
        assert!(is_held(&mut a, &store, &clock).await);
    });
}

/// Guards against a cooldown for the first holder of a lease that does not exist yet.
#[test]
fn first_holder() {
    task::block_on(async {
        let (store, clock) = (MemoryPlatform::default(), ManualClock::default());
        assert!(is_held(&mut manager("host-a", 1), &store, &clock).await);
    });
}
