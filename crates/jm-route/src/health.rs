//! Adapts windows to the time per token and detects targets that are slow but still respond.

use jm_types::Timestamp;

use crate::{
    SchedulerOptions,
    target::{Health, Target},
};

/// Weight of the last interval in the moving average of the time per token.
const TIME_GAIN: f64 = 0.5;

/// A window grows only while the time per token is below this fraction of its limit, which prevents oscillation.
const GROWTH_MARGIN: f64 = 0.95;

/// A slow target has recovered when its time per token is below this fraction of the threshold for slow targets.
const RECOVERY_RATIO: f64 = 0.75;

/// Minimum number of targets with a known time per token for the comparison with the median.
const MIN_PEERS: usize = 2;

/// Ends a control interval for the targets of one service. `demand` says whether requests waited for a free window.
/// Updates the health only of targets with an observation in the interval, so that one bad measurement of an idle
/// target is not counted repeatedly.
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
    if times.len() < MIN_PEERS {
        return;
    }
    times.sort_by(f64::total_cmp);
    // The lower median, so that with two targets the faster one is the reference.
    let median = times[(times.len() - 1) / 2];
    for slot in observed {
        update_health(&mut targets[slot], median, options);
    }
}

/// Updates the time per token; `false` when the interval has no observation of the target.
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

/// Additive increase while requests wait for a free window and the time per token is well below its limit;
/// multiplicative decrease above the limit.
fn adapt_window(target: &mut Target, demand: bool) {
    let bounds = target.spec.window;
    let limit = bounds.time_limit_us as f64;
    if target.time_per_token_us > limit {
        target.ramping_up = false;
        target.window = (target.window - target.window / 8).max(bounds.min);
    } else if target.ramping_up {
        target.window = (target.window * 2).min(bounds.initial.max(target.window));
        target.ramping_up = target.window < bounds.initial;
    } else if demand && target.time_per_token_us < GROWTH_MARGIN * limit {
        target.window = (target.window + (bounds.max / 32).max(1)).min(bounds.max);
    }
}

fn update_health(target: &mut Target, median: f64, options: &SchedulerOptions) {
    let factor = options.slow_factor_per_thousand as f64 / 1_000.0;
    let deviates = match target.health {
        Health::Normal => target.time_per_token_us > factor * median,
        Health::Slow => target.time_per_token_us < RECOVERY_RATIO * factor * median,
        Health::Failing => false,
    };
    target.deviating_intervals = if deviates {
        target.deviating_intervals + 1
    } else {
        0
    };
    if target.deviating_intervals < options.slow_intervals {
        return;
    }
    target.deviating_intervals = 0;
    if target.health == Health::Normal {
        target.health = Health::Slow;
    } else {
        target.resume_from_min_window();
    }
}

/// Counts a failure. A target with several failures in a row only receives probe requests. Otherwise a target that
/// fails fast would always have a free window and would attract the most work.
pub(crate) fn record_failure(target: &mut Target, now: Timestamp, options: &SchedulerOptions) {
    target.failures += 1;
    if target.failures >= options.failure_limit {
        target.health = Health::Failing;
        target.next_probe = now.after(options.probe_interval);
    }
}

/// Resets the failure count. A failing target receives work again, starting with the minimum window.
pub(crate) fn record_success(target: &mut Target) {
    target.failures = 0;
    if target.health == Health::Failing {
        target.resume_from_min_window();
    }
}
