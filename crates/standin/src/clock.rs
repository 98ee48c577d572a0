//! Wall-clock milliseconds, for lists that people and checkers read.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
