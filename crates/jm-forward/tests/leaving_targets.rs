//! Guards against requests to a target that said that it is leaving, and against a restarted target that gets none.

mod common;

use std::collections::{HashMap, HashSet};

use common::target;
use jm_forward::{Catalog, LeavingTargets, RunKey, Target, TargetState};
use jm_types::Timestamp;
use quickcheck::{Arbitrary, Gen, quickcheck};

const TARGETS: [&str; 3] = ["t1", "t2", "t3"];

/// What happens in one run of the model.
#[derive(Debug, Clone)]
enum Step {
    /// A target answers with a notice.
    Notice(usize),
    /// The store lists the targets of this set. Their entries say that they serve, whatever they answered.
    List(Vec<usize>),
    /// A target starts again under its id.
    Restart(usize),
    /// The host is cut off from the store for some seconds.
    CutOff(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g) % TARGETS.len();
        match u8::arbitrary(g) % 4 {
            0 => Self::Notice(index),
            1 => Self::List((0..TARGETS.len()).filter(|_| bool::arbitrary(g)).collect()),
            2 => Self::Restart(index),
            _ => Self::CutOff(u8::arbitrary(g) % 10),
        }
    }
}

fn listed(index: usize, starts: &[u64]) -> Target {
    let mut target = target(TARGETS[index]);
    target.run.started_unix_ms = starts[index];
    target
}

quickcheck! {
    /// After each listing, exactly the listed runs without a notice serve.
    fn runs_with_notice_never_serve(steps: Vec<Step>) -> bool {
        let mut leaving = LeavingTargets::default();
        let mut with_notice: HashSet<RunKey> = HashSet::new();
        let mut starts = [1, 1, 1];
        let mut now = Timestamp::new(1);
        for step in steps {
            match step {
                Step::Notice(index) => {
                    let run = listed(index, &starts).run;
                    let is_first = leaving.record(&run, now);
                    assert_eq!(is_first, with_notice.insert(run));
                }
                Step::Restart(index) => starts[index] += 1,
                Step::CutOff(seconds) => now = Timestamp::new(now.get() + u64::from(seconds) * 1_000),
                Step::List(indexes) => {
                    let entries = indexes.iter().map(|index| listed(*index, &starts));
                    let catalog: Catalog = entries.map(|entry| leaving.apply(entry)).collect();
                    leaving.forget_unlisted(&catalog, now);
                    let serves = |target: &Target| target.state == TargetState::Serving;
                    if catalog.iter().any(|target| serves(target) == with_notice.contains(&target.run)) {
                        return false;
                    }
                }
            }
        }
        true
    }
}

/// Guards against a record that grows with each target that ever left.
#[test]
fn bounded_record() {
    let mut leaving = LeavingTargets::default();
    let mut first_again: HashMap<u64, bool> = HashMap::new();
    for start in [1, 2] {
        let mut gone = target("t1");
        gone.run.started_unix_ms = start;
        leaving.record(&gone.run, Timestamp::new(0));
        let kept = Catalog::from_iter((start == 2).then(|| gone.clone()));
        leaving.forget_unlisted(&kept, Timestamp::new(400_000));
        first_again.insert(start, leaving.record(&gone.run, Timestamp::new(400_000)));
    }
    assert_eq!(first_again, HashMap::from([(1, true), (2, false)]));
}
