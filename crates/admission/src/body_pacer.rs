//! Pace of large request bodies on the link of a host.

use std::time::{
    Duration,
    Instant, //
};

/// Share of the link that large bodies may take. The rest carries small calls and answers, which wait
/// behind a body on a link that is full.
const LINK_RATIO: f64 = 0.6;

/// Until when a body must have arrived.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalBounds {
    /// Bound of a body that may start at once.
    pub at_once: Instant,
    /// Bound of a body that waits for others. It is earlier, so that the queue stays as short as prompt
    /// answers need.
    pub waiting: Instant,
}

/// Lowest stated pace that counts as valid, in bytes per second.
const PACE_MIN_BYTES_PER_S: f64 = 1.0;

/// A body would arrive too late at the pace that was stated for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooSlow;

/// Returns the pace at which to send a body of `len_bytes`, in bytes per second: the one that the receiver
/// stated, or `None` if it stated none or an invalid one.
///
/// # Errors
///
/// The body would arrive after `deadline`.
pub fn checked_pace(
    stated_bytes_per_s: Option<f64>,
    len_bytes: usize,
    deadline: Instant,
    now: Instant,
) -> Result<Option<f64>, TooSlow> {
    let Some(bytes_per_s) =
        stated_bytes_per_s.filter(|pace| pace.is_finite() && *pace >= PACE_MIN_BYTES_PER_S)
    else {
        return Ok(None);
    };
    let left = deadline.saturating_duration_since(now);
    if len_bytes as f64 / bytes_per_s > left.as_secs_f64() {
        return Err(TooSlow);
    }
    Ok(Some(bytes_per_s))
}

/// Lets large bodies start one after the other, at the pace of their share of the link.
#[derive(Clone, Copy, Debug)]
pub struct BodyPacer {
    bytes_per_s: f64,
    /// When the link has carried the accepted bodies.
    free_at: Instant,
}

impl BodyPacer {
    /// Creates a pacer of a link of `link_mbps` megabits per second, of which none is in use.
    pub fn new(link_mbps: u32, now: Instant) -> Self {
        Self {
            bytes_per_s: f64::from(link_mbps) * LINK_RATIO * 1e6 / 8.0,
            free_at: now,
        }
    }

    /// Returns when a body of `len_bytes` may start, and reserves the link for it. Returns `None` if it
    /// would arrive too late.
    pub fn reserve(
        &mut self,
        len_bytes: usize,
        by: ArrivalBounds,
        now: Instant,
    ) -> Option<Instant> {
        if self.bytes_per_s <= 0.0 {
            return Some(now);
        }
        let start_at = self.free_at.max(now);
        let transfer = self.transfer_time(len_bytes)?;
        let latest = if start_at > now {
            by.waiting
        } else {
            by.at_once
        };
        let end_at = start_at.checked_add(transfer)?;
        if end_at > latest {
            return None;
        }
        self.free_at = end_at;
        Some(start_at)
    }

    /// Takes back the reservation of a body that is not sent.
    pub fn give_back(&mut self, len_bytes: usize, now: Instant) {
        let Some(transfer) = self.transfer_time(len_bytes) else {
            return;
        };
        self.free_at = self.free_at.checked_sub(transfer).unwrap_or(now).max(now);
    }

    /// Returns the time that the link's share takes for a body.
    fn transfer_time(&self, len_bytes: usize) -> Option<Duration> {
        Duration::try_from_secs_f64(len_bytes as f64 / self.bytes_per_s).ok()
    }

    /// Returns the pace of bodies on the link; 0 if the link is unknown.
    pub fn bytes_per_s(&self) -> f64 {
        self.bytes_per_s
    }

    /// Returns the time until the next body may start.
    pub fn wait(&self, now: Instant) -> Duration {
        self.free_at.saturating_duration_since(now)
    }
}
