//! Adapts windows to the time per token and finds targets that are slow but not dead.

use jm_types::Timestamp;

use crate::{
    SchedulerOptions,
    target::{Health, Target},
};

/// Weight of the last interval in the running time per token.
const TIME_GAIN: f64 = 0.5;

/// A window grows only while the time per token is below this part of its limit, so that it does not swing.
const GROWTH_MARGIN: f64 = 0.95;

/// A slow target is well again below this part of the factor at which it counts as slow.
const RECOVERY_PART: f64 = 0.75;

/// Fewest targets with known speed among which a slow one can be told.
const LEAST_PEERS: usize = 2;

/// Closes a control interval for the targets of one service; `demand` tells whether requests waited for room. Only
/// targets that were observed in the interval are judged, so that one bad reading of an idle target does not count
/// again and again.
pub(crate) fn control(targets: &mut [Target], demand: bool, now: Timestamp, options: &SchedulerOptions) {
    let mut times = Vec::with_capacity(targets.len());
    let mut observed = Vec::with_capacity(targets.len());
    for (slot, target) in targets
        .iter_mut()
        .enumerate()
        .filter(|(_, target)| !target.removed)
    {
        if close_interval(target, now, options) {
            observed.push(slot);
            if target.health == Health::Normal {
                adapt_window(target, demand);
            }
        }
        if target.time_per_token_us > 0.0 {
            times.push(target.time_per_token_us);
        }
    }
    if times.len() < LEAST_PEERS {
        return;
    }
    times.sort_by(f64::total_cmp);
    // The lower median, so that of two targets the faster one is the measure.
    let median = times[(times.len() - 1) / 2];
    for slot in observed {
        judge(&mut targets[slot], median, options);
    }
}

/// Updates the time per token; `false` when the interval says nothing about the target.
fn close_interval(target: &mut Target, now: Timestamp, options: &SchedulerOptions) -> bool {
    let idle = now.since(target.last_progress);
    let stalled = target.requests > 0 && idle >= options.stall_timeout;
    let sample = if target.interval_tokens > 0 {
        target.interval_busy_us as f64 / target.interval_tokens as f64
    } else if stalled {
        idle.get() as f64 * 1_000.0
    } else {
        return false;
    };
    target.interval_busy_us = 0;
    target.interval_tokens = 0;
    target.time_per_token_us = if target.time_per_token_us == 0.0 {
        sample
    } else {
        target.time_per_token_us + TIME_GAIN * (sample - target.time_per_token_us)
    };
    true
}

/// Additive growth while requests wait for room and tokens are fast, multiplicative decrease when they are slow.
fn adapt_window(target: &mut Target, demand: bool) {
    let bounds = target.spec.window;
    let limit = bounds.time_limit_us as f64;
    if target.time_per_token_us > limit {
        target.restarting = false;
        target.window = (target.window - target.window / 8).max(bounds.min);
    } else if target.restarting {
        target.window = (target.window * 2).min(bounds.initial.max(target.window));
        target.restarting = target.window < bounds.initial;
    } else if demand && target.time_per_token_us < GROWTH_MARGIN * limit {
        target.window = (target.window + (bounds.max / 32).max(1)).min(bounds.max);
    }
}

fn judge(target: &mut Target, median: f64, options: &SchedulerOptions) {
    let factor = options.slow_factor_per_thousand as f64 / 1_000.0;
    let against = match target.health {
        Health::Normal => target.time_per_token_us > factor * median,
        Health::Slow => target.time_per_token_us < RECOVERY_PART * factor * median,
        Health::Failing => false,
    };
    target.strikes = if against { target.strikes + 1 } else { 0 };
    if target.strikes < options.slow_intervals {
        return;
    }
    target.strikes = 0;
    if target.health == Health::Normal {
        target.health = Health::Slow;
    } else {
        target.restart();
    }
}

/// Counts a failure; a target that fails repeatedly only gets probes. Without this, a target that fails fast
/// always has a free window and attracts the most work.
pub(crate) fn failed(target: &mut Target, now: Timestamp, options: &SchedulerOptions) {
    target.failures += 1;
    if target.failures >= options.failure_limit {
        target.health = Health::Failing;
        target.next_probe = now.after(options.probe_interval);
    }
}

/// Counts a success; a failing target gets work again, from the smallest window on.
pub(crate) fn succeeded(target: &mut Target) {
    target.failures = 0;
    if target.health == Health::Failing {
        target.restart();
    }
}
