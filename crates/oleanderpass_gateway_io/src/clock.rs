//! Read clocks. The monotonic one also advances while the machine is suspended.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// The longest sleep before the clock is read again. Timers stop while the machine is suspended, so
/// a deadline that passes during a suspension is noticed at most this much later.
const MAX_SLEEP: Millis = Millis::new(500);

/// Return the time since the machine booted, including suspensions.
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Timestamp::from_millis(secs * 1_000 + nanos / 1_000_000)
}

/// Return the Unix time in milliseconds. It may jump in either direction.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::from(elapsed).get()
}

/// Sleep until a time of this clock.
pub async fn sleep_until(at: Timestamp) {
    loop {
        let left = now().until(at);
        if left == Millis::ZERO {
            return;
        }
        tokio::time::sleep(Duration::from(left.min(MAX_SLEEP))).await;
    }
}
