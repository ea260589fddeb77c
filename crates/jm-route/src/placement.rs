//! Chooses a target for one request.

use jm_types::{TargetId, Timestamp};

use crate::{
    Class, SchedulerOptions,
    cache::{PrefixIndex, bit},
    hash::{mix, rendezvous_weight},
    target::{Health, Target},
};

/// Requests may follow their prefix to an engine whose window is used up to this part, whatever the mean load is:
/// at low load an uneven load harms nobody.
const LOW_LOAD_DIVISOR: u64 = 8;

/// What placement needs to know about a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Need<'a> {
    pub(crate) class: Class,
    pub(crate) tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) prefix_hashes: &'a [u64],
    pub(crate) avoid: &'a [TargetId],
    pub(crate) seed: u64,
}

/// Where a request may go now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Placement {
    /// To the target in this slot.
    Slot(usize),
    /// Nowhere: the windows are full.
    Full,
    /// Nowhere: the targets that it may use only get probes.
    Degraded,
    /// Nowhere: no target is left that takes work and was not tried before.
    NoTarget,
}

/// Whether the target takes work and was not tried before.
pub(crate) fn allowed(target: &Target, avoid: &[TargetId]) -> bool {
    target.takes_work() && !avoid.contains(&target.spec.id)
}

/// Chooses a target: a due probe first, then the longest cached prefix among targets below the load bound, then
/// the least loaded one.
pub(crate) fn place(
    targets: &[Target],
    index: &PrefixIndex,
    need: Need<'_>,
    now: Timestamp,
    options: &SchedulerOptions,
) -> Placement {
    let any_normal = targets
        .iter()
        .any(|target| target.takes_work() && target.health == Health::Normal);
    let batch_tokens = options.training_batch_tokens;
    let busy = prompts_fill_half(targets);
    let mut survey = Survey::default();
    for (slot, target) in targets.iter().enumerate() {
        if !target.takes_work() {
            continue;
        }
        survey.used += target.used;
        survey.window += target.window;
        if !allowed(target, need.avoid) {
            continue;
        }
        survey.allowed = true;
        // Slow targets are better than none; failing ones are not.
        if target.health == Health::Failing || (target.health == Health::Slow && any_normal) {
            if target.probe_due(need.class, now, options.probe_interval) {
                return Placement::Slot(slot);
            }
            continue;
        }
        survey.usable = true;
        if target.fits(need.class, need.tokens, options)
            && !(batch_tokens > 0 && target.holds_back(&need, busy, now, batch_tokens))
        {
            let key = (waiting_prompts(target, need.class), target.load(now, options));
            survey.note(slot, key, mix(need.seed ^ target.hash));
        }
    }
    if survey.best.is_none() {
        return survey.refusal();
    }
    follow_prefix(targets, index, need, &survey)
        .or(survey.best.map(|(_, _, slot)| slot))
        .map_or(Placement::Full, Placement::Slot)
}

/// Prompts that a live call would wait for, and the load.
type Key = (u64, u64);

/// Prompt tokens whose order of magnitude matters for the time to the first token.
const PROMPT_STEP: u64 = 64;

/// Whether at least half of the engines process prompts, so that a live call would not find one that does not.
fn prompts_fill_half(targets: &[Target]) -> bool {
    let processing = targets
        .iter()
        .filter(|target| target.pending_prompt.iter().any(|tokens| *tokens > 0));
    processing.count() >= (targets.len() / 2).max(1)
}

fn waiting_prompts(target: &Target, class: Class) -> u64 {
    match class {
        Class::Live => target.pending_prompt.iter().sum::<u64>() / PROMPT_STEP,
        Class::Training => 0,
    }
}

#[derive(Debug, Default)]
struct Survey {
    used: u64,
    window: u64,
    allowed: bool,
    usable: bool,
    fitting: u128,
    /// Key, tie-breaker and slot of the best target.
    best: Option<(Key, u64, usize)>,
}

impl Survey {
    fn note(&mut self, slot: usize, key: Key, tie: u64) {
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

/// Bounded-load rendezvous: among the fitting targets below the load bound, those with the longest known prefix;
/// ties go by rendezvous on the first prefix that is not cached there, so that requests which share it meet.
fn follow_prefix(targets: &[Target], index: &PrefixIndex, need: Need<'_>, survey: &Survey) -> Option<usize> {
    let last = need.prefix_hashes.last()?;
    let bounded = slots(survey.fitting)
        .filter(|slot| within_bound(&targets[*slot], need.tokens, survey))
        .fold(0, |mask, slot| mask | bit(slot));
    let (holders, depth) = index.longest(need.prefix_hashes, bounded);
    let key = need.prefix_hashes.get(depth).unwrap_or(last);
    slots(holders).max_by_key(|slot| rendezvous_weight(targets[*slot].hash, *key))
}

fn within_bound(target: &Target, tokens: u64, survey: &Survey) -> bool {
    // Half of the request counts, so that the load after placement is on average at the bound.
    let after = target.used + target.cost(tokens) / 2;
    let mean =
        (survey.used + target.cost(tokens)) as f64 * target.window as f64 / survey.window.max(1) as f64;
    after as f64 <= LOAD_BOUND * mean || after <= target.window / LOW_LOAD_DIVISOR
}

/// Affinity sends a request to a target only while the target's load stays below this multiple of the mean load
/// of the service's targets.
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
