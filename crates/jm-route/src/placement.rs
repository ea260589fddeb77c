//! Selection of a target for one request.

use jm_types::{TargetId, Timestamp};

use crate::{
    Class, SchedulerOptions,
    cache::{PrefixIndex, bit},
    hash::{mix, rendezvous_weight},
    target::{Health, Target},
};

/// Prefix affinity may fill an engine's window up to the window divided by this number, regardless of the mean load.
/// An uneven distribution does no harm at low load.
const LOW_LOAD_DIVISOR: u64 = 8;

/// The properties of a request by which a target is chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementQuery<'a> {
    pub(crate) class: Class,
    pub(crate) tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) prefix_hashes: &'a [u64],
    pub(crate) avoid: &'a [TargetId],
    pub(crate) seed: u64,
}

/// The result of target selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Placement {
    /// The request can start on the target in this slot.
    Slot(usize),
    /// The windows of the usable targets are full.
    Full,
    /// The allowed targets only receive probe requests, and no probe is due.
    Degraded,
    /// No target accepts new work, apart from those tried before.
    NoTarget,
}

/// Whether the target accepts new work and is not in `avoid`.
pub(crate) fn allowed(target: &Target, avoid: &[TargetId]) -> bool {
    target.accepts_work() && !avoid.contains(&target.spec.id)
}

/// Chooses a target. The order of preference is a degraded target with a due probe, the target with the longest
/// cached prefix among those below the load bound, and the least loaded target.
pub(crate) fn place(
    targets: &[Target],
    index: &PrefixIndex,
    query: PlacementQuery<'_>,
    now: Timestamp,
    options: &SchedulerOptions,
) -> Placement {
    let any_normal = targets
        .iter()
        .any(|target| target.accepts_work() && target.health == Health::Normal);
    let batch_tokens = options.training_batch_tokens;
    let in_prefill = half_in_prefill(targets);
    let mut candidates = Candidates::default();
    for (slot, target) in targets.iter().enumerate() {
        if !target.accepts_work() {
            continue;
        }
        candidates.used += target.used;
        candidates.window += target.window;
        if !allowed(target, query.avoid) {
            continue;
        }
        candidates.allowed = true;
        // Slow targets are used when no target is normal; failing targets only receive probes.
        if target.health == Health::Failing || (target.health == Health::Slow && any_normal) {
            if target.probe_due(query.class, now, options.probe_interval) {
                return Placement::Slot(slot);
            }
            continue;
        }
        candidates.usable = true;
        if target.fits(query.class, query.tokens, options)
            && !(batch_tokens > 0 && target.must_delay_training(&query, in_prefill, now, batch_tokens))
        {
            let key = (prompts_ahead(target, query.class), target.load(now, options));
            candidates.add(slot, key, mix(query.seed ^ target.hash));
        }
    }
    if candidates.best.is_none() {
        return candidates.refusal();
    }
    follow_prefix(targets, index, query, &candidates)
        .or(candidates.best.map(|(_, _, slot)| slot))
        .map_or(Placement::Full, Placement::Slot)
}

/// Sort key of a target: the prompts that a live request would wait for, in buckets, and then the load.
type Key = (u64, u64);

/// Bucket size for pending prompt tokens. Differences below this size do not matter for the time to first token.
const PROMPT_BUCKET_TOKENS: u64 = 64;

/// Whether at least half of the engines process prompts, so that a live request may not find an engine without
/// pending prompts.
fn half_in_prefill(targets: &[Target]) -> bool {
    let processing = targets
        .iter()
        .filter(|target| target.pending_prompt.iter().any(|tokens| *tokens > 0));
    processing.count() >= (targets.len() / 2).max(1)
}

fn prompts_ahead(target: &Target, class: Class) -> u64 {
    match class {
        Class::Live => target.pending_prompt.iter().sum::<u64>() / PROMPT_BUCKET_TOKENS,
        Class::Training => 0,
    }
}

#[derive(Debug, Default)]
struct Candidates {
    used: u64,
    window: u64,
    allowed: bool,
    usable: bool,
    fitting: u128,
    /// Sort key, tie-breaker and slot of the best target.
    best: Option<(Key, u64, usize)>,
}

impl Candidates {
    fn add(&mut self, slot: usize, key: Key, tie: u64) {
        self.fitting |= bit(slot);
        let candidate = (key, tie, slot);
        if self.best.is_none_or(|best| candidate < best) {
            self.best = Some(candidate);
        }
    }

    const fn refusal(&self) -> Placement {
        match (self.allowed, self.usable) {
            (false, _) => Placement::NoTarget,
            (true, false) => Placement::Degraded,
            (true, true) => Placement::Full,
        }
    }
}

/// Rendezvous hashing with bounded loads. Selects the fitting targets below the load bound that cache the longest
/// prefix. Rendezvous hashing on the first prefix that is not cached there breaks ties, so that requests with that
/// prefix go to the same target.
fn follow_prefix(
    targets: &[Target],
    index: &PrefixIndex,
    query: PlacementQuery<'_>,
    candidates: &Candidates,
) -> Option<usize> {
    let last = query.prefix_hashes.last()?;
    let bounded = slots(candidates.fitting)
        .filter(|slot| within_bound(&targets[*slot], query.tokens, candidates))
        .fold(0, |mask, slot| mask | bit(slot));
    let (holders, depth) = index.longest(query.prefix_hashes, bounded);
    let key = query.prefix_hashes.get(depth).unwrap_or(last);
    slots(holders).max_by_key(|slot| rendezvous_weight(targets[*slot].hash, *key))
}

fn within_bound(target: &Target, tokens: u64, candidates: &Candidates) -> bool {
    // Counts half of the request, so that the load after placement is at the bound on average.
    let after = target.used + target.cost(tokens) / 2;
    let mean = (candidates.used + target.cost(tokens)) as f64 * target.window as f64
        / candidates.window.max(1) as f64;
    after as f64 <= LOAD_BOUND * mean || after <= target.window / LOW_LOAD_DIVISOR
}

/// Prefix affinity uses a target only while its load is below this multiple of the mean load of the service's
/// targets.
const LOAD_BOUND: f64 = 1.2;

fn slots(mut mask: u128) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        (mask != 0).then(|| {
            let slot = mask.trailing_zeros() as usize;
            mask &= mask - 1;
            slot
        })
    })
}
