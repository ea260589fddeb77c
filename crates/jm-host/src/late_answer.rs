//! Tells how old an answer is that waited for a host which stood still.
//!
//! Load pattern: a host that stands still for seconds finds the answers of its calls when it goes on. They are as old as the
//! pause, although they have just been read. A store that is slow for all hosts must not look like that, because hosts whose
//! data seems old make more calls.

use async_std::future::timeout;
use jm_types::{Clock, DurationMs};

/// Interval at which a waiting call looks at the clock.
const TICK_MS: DurationMs = DurationMs::new(500);
/// Shortest time for which the host stands still that counts. A loaded host is late by less.
const MIN_PAUSE_MS: DurationMs = DurationMs::new(1_000);

/// Waits for a call. Returns its result, and the time that it took if the host stood still in it, otherwise zero.
pub(crate) async fn with_pause<T>(clock: &dyn Clock, call: impl Future<Output = T>) -> (T, DurationMs) {
    let started = clock.now();
    let mut call = std::pin::pin!(call);
    let mut has_paused = false;
    loop {
        let ticked = clock.now();
        let result = timeout(TICK_MS.as_std(), call.as_mut()).await;
        let late = clock.now().since(ticked).saturating_sub(TICK_MS);
        has_paused |= late >= MIN_PAUSE_MS;
        if let Ok(result) = result {
            let age = match has_paused {
                true => clock.now().since(started),
                false => DurationMs::new(0),
            };
            return (result, age);
        }
    }
}
