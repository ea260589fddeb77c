//! Guards against a lease that is taken over too early or never, or that loses its fencing number.

use async_std::task;
use jm_lease::{Acquisition, Duty, LeaseError, LeaseManager, LeaseOptions};
use jm_platform::{Condition, MemoryPlatform, ObjectStore};
use jm_types::{Clock, DurationMs, Incarnation, ManualClock};

fn manager(holder: &str, incarnation: u64) -> LeaseManager {
    let holder = holder.parse().expect("a valid id");
    let options = LeaseOptions::new(Duty::Usage, holder, Incarnation::new(incarnation));
    LeaseManager::new(options).expect("consistent options")
}

async fn is_held(manager: &mut LeaseManager, store: &MemoryPlatform, clock: &ManualClock) -> bool {
    let acquired = manager.acquire(store, clock).await.expect("the store answers");
    matches!(acquired, Acquisition::Held(guard) if guard.is_valid(clock.now()))
}

#[test]
fn free_after_release() {
    task::block_on(async {
        let (store, clock) = (MemoryPlatform::default(), ManualClock::default());
        let (mut old, mut new) = (manager("control-1", 1), manager("control-2", 1));
        assert!(is_held(&mut old, &store, &clock).await);
        assert!(!is_held(&mut new, &store, &clock).await);
        let guard = old.guard().cloned().expect("held");
        old.release(&store, &clock).await.expect("the store answers");
        assert!(
            !guard.is_valid(clock.now()),
            "a released guard must not allow writing"
        );
        assert!(is_held(&mut new, &store, &clock).await);
        assert!(matches!(
            old.renew(&store, &clock).await,
            Err(LeaseError::NotHeld)
        ));
    });
}

/// Guards against a takeover while the holder renews. Each renewal changes the object and restarts the wait.
#[test]
fn renewed_in_time() {
    task::block_on(async {
        let (store, clock) = (MemoryPlatform::default(), ManualClock::default());
        let (mut old, mut new) = (manager("control-1", 1), manager("control-2", 1));
        for _ in 0..20 {
            assert!(is_held(&mut old, &store, &clock).await);
            clock.advance(DurationMs::new(6_000));
            assert!(!is_held(&mut new, &store, &clock).await);
        }
        clock.advance(DurationMs::new(10_000));
        assert!(is_held(&mut new, &store, &clock).await);
        assert!(matches!(old.renew(&store, &clock).await, Err(LeaseError::Lost)));
    });
}

/// Guards against a restarted daemon that takes over at once while its previous run may still be active.
#[test]
fn restarted_holder() {
    task::block_on(async {
        let (store, clock) = (MemoryPlatform::default(), ManualClock::default());
        assert!(is_held(&mut manager("control-1", 1), &store, &clock).await);
        let mut restarted = manager("control-1", 2);
        assert!(!is_held(&mut restarted, &store, &clock).await);
        clock.advance(DurationMs::new(10_000));
        assert!(is_held(&mut restarted, &store, &clock).await);
    });
}

/// Guards against fencing numbers that start over when an operator deletes the object. The system itself never does.
#[test]
fn deleted_object() {
    task::block_on(async {
        let (store, clock) = (MemoryPlatform::default(), ManualClock::default());
        let (mut old, mut new) = (manager("control-1", 1), manager("control-2", 1));
        assert!(is_held(&mut old, &store, &clock).await);
        let fencing = old.guard().expect("held").fencing();
        let deleted = store.delete(&Duty::Usage.key(), Condition::Any).await;
        deleted.expect("the store answers");
        assert!(is_held(&mut new, &store, &clock).await);
        assert!(new.guard().expect("held").fencing() > fencing);
        assert!(old.renew(&store, &clock).await.is_err());
        assert!(old.guard().is_none());
    });
}
