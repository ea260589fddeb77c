//! Two daemons that both own a step after a takeover from one that was suspended or partitioned.

use jm_step::{CopyMessage, OwnershipDecision, StepAssembly, StepCopy, StepOptions, StepSpec};
use jm_types::{Sequence, TokenCount, WeightVersion};

fn options(owner: u64) -> StepOptions {
    StepOptions {
        owner,
        ..StepOptions::default()
    }
}

/// Returns an owner and the new owner that took over from its copy.
fn owners(former: u64, next: u64) -> (StepAssembly, StepAssembly) {
    let spec = StepSpec {
        step: "step".parse().unwrap(),
        service: "racks".parse().unwrap(),
        weight_version: WeightVersion::new(1),
        staleness_bound: 1,
        group_size: 1,
        samples: 1,
        prompts: vec!["p".to_owned()],
        max_tokens: TokenCount::new(1),
        held: Vec::new(),
    };
    let mut owner = StepAssembly::new(spec, options(former)).unwrap();
    let mut copy = StepCopy::default();
    for message in owner.pending_copies() {
        let receipt = copy.accept(&message).unwrap();
        owner.on_copy_receipt(receipt);
    }
    let next = StepAssembly::restore(copy, options(next)).unwrap();
    (owner, next)
}

/// The first message of an owner's current term.
fn begin(owner: &StepAssembly) -> CopyMessage {
    owner.pending_copies().remove(0)
}

/// Guards against a new owner that yields to a message of its predecessor, whose term it descends from.
#[test]
fn former_owner_refused() {
    let (mut former, next) = owners(1, 2);
    let named = former.on_version_named(WeightVersion::new(2), Sequence::new(0));
    assert_eq!(next.decide_ownership(&named.copy[0]), OwnershipDecision::Reject);
}

/// Guards against a former owner that remains owner after it received the first message of its successor.
#[test]
fn successor_accepted() {
    let (former, next) = owners(1, 2);
    assert_eq!(former.decide_ownership(&begin(&next)), OwnershipDecision::Yield);
}

/// Guards against two owners that both yield or both reject each other. The former owner started a new term after it
/// resumed, so both terms have the same number. The larger owner number decides.
#[test]
fn exactly_one_owner_remains() {
    for (former, next) in [(1, 2), (2, 1)] {
        let (mut resumed, taken_over) = owners(former, next);
        resumed.on_copy_holder_changed();
        let of_resumed = taken_over.decide_ownership(&begin(&resumed));
        let of_taken_over = resumed.decide_ownership(&begin(&taken_over));
        let expected = match former > next {
            true => (OwnershipDecision::Yield, OwnershipDecision::Reject),
            false => (OwnershipDecision::Reject, OwnershipDecision::Yield),
        };
        assert_eq!((of_resumed, of_taken_over), expected);
    }
}

/// Guards against an owner that yields to a message without the lineage of its term.
#[test]
fn later_message_deferred() {
    let (mut resumed, taken_over) = owners(2, 1);
    resumed.on_copy_holder_changed();
    let named = resumed.on_version_named(WeightVersion::new(2), Sequence::new(0));
    assert_eq!(
        taken_over.decide_ownership(&named.copy[0]),
        OwnershipDecision::Defer
    );
}
