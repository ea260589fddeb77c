//! Guards against batches that are handed over again and again while all hosts are restarted in turn.

use jm_batch::{Candidate, next_owner};
use jm_route::owner_by_key;
use jm_types::{DurationMs, Incarnation, MemberId};

const DAY_MS: u64 = 86_400_000;

fn candidate(name: &str, age_ms: u64, other_batches: usize) -> Candidate {
    Candidate {
        member: name.parse().unwrap(),
        incarnation: Incarnation::new(1),
        age_ms: DurationMs::new(age_ms),
        other_batches,
    }
}

fn next(candidates: &[Candidate], own_age_ms: u64) -> Option<&str> {
    let next = next_owner("m", candidates, DurationMs::new(own_age_ms));
    next.map(|next| next.member.as_str())
}

/// Hosts stop 2 s apart and are back after 1.5 s. Returns how often the batches of 20 models are handed over in total.
fn handovers(choose: impl Fn(&str, &[Candidate]) -> MemberId) -> usize {
    let names: Vec<String> = (0..8).map(|index| format!("host-{index}")).collect();
    let mut count = 0;
    for model in (0..20).map(|index| format!("model-{index}")) {
        let members: Vec<MemberId> = names.iter().map(|name| name.parse().unwrap()).collect();
        let mut owner = owner_by_key(&model, &members).unwrap().clone();
        for stopping in 0..names.len() {
            if owner.as_str() != names[stopping] {
                continue;
            }
            let others = (0..names.len()).filter(|index| *index != stopping);
            let age_ms = |index: usize| match index < stopping {
                true => (stopping - index) as u64 * 2_000 - 1_500,
                false => DAY_MS,
            };
            let others: Vec<Candidate> = others
                .map(|index| candidate(&names[index], age_ms(index), 0))
                .collect();
            owner = choose(&model, &others);
            count += 1;
        }
    }
    count
}

#[test]
fn rolling_restart() {
    let chosen = handovers(|key, candidates| {
        let own_age_ms = DurationMs::new(DAY_MS);
        next_owner(key, candidates, own_age_ms).unwrap().member.clone()
    });
    let naive = handovers(|key, candidates| {
        let members: Vec<MemberId> = candidates.iter().map(|next| next.member.clone()).collect();
        owner_by_key(key, &members).unwrap().clone()
    });
    assert!(chosen < naive, "{chosen} handovers, {naive} by rendezvous alone");
}

#[test]
fn fewest_batches() {
    let candidates = [
        candidate("host-a", 5_000, 2),
        candidate("host-b", 7_000, 1),
        candidate("host-c", DAY_MS, 0),
    ];
    assert_eq!(next(&candidates, DAY_MS), Some("host-b"));
}

/// A host that has just started is selected only if there is no other one.
#[test]
fn just_started() {
    let candidates = [candidate("host-a", 900, 0), candidate("host-b", DAY_MS, 9)];
    assert_eq!(next(&candidates, DAY_MS), Some("host-b"));
    assert_eq!(next(&candidates[..1], DAY_MS), Some("host-a"));
    assert_eq!(next(&[], DAY_MS), None);
}

/// Hosts that started together are no sign of a rolling restart, and neither is a single one.
#[test]
fn no_rolling_restart() {
    let together =
        ["host-a", "host-b", "host-c"].map(|name| candidate(name, 9_000, usize::from(name == "host-a")));
    let single = ["host-a", "host-b", "host-c"].map(|name| match name {
        "host-a" => candidate(name, 9_000, 1),
        _ => candidate(name, DAY_MS, 0),
    });
    let members: Vec<MemberId> = together.iter().map(|next| next.member.clone()).collect();
    let by_rendezvous = owner_by_key("m", &members).map(MemberId::as_str);
    assert_eq!(next(&together, 9_000), by_rendezvous);
    assert_eq!(next(&single, DAY_MS), by_rendezvous);
}
