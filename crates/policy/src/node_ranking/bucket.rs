//! Buckets of nodes with nearly the same bound of their load.

use crate::api::Micros;

/// Floor of the second bucket by delay in microseconds; the first one starts at 0.
pub(super) const FIRST_DELAY_US: f64 = 50.0;
/// Factor from the floor of one bucket by delay to that of the next.
pub(super) const DELAY_STEP: f64 = 1.25;
/// Number of buckets by freshness.
pub(super) const FRESHNESS_STEPS: f64 = 16.0;

/// Groups of nodes; a search visits them one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HealthTier {
    /// Healthy and at full capacity.
    Healthy,
    /// In slow start, or possibly: what it may be sent is often used up.
    SlowStart,
    /// Unresponsive or returning errors: the last choice.
    Unhealthy,
}

impl HealthTier {
    pub(crate) fn of(is_unhealthy: bool, is_in_slow_start: bool) -> Self {
        match (is_unhealthy, is_in_slow_start) {
            (true, _) => Self::Unhealthy,
            (false, true) => Self::SlowStart,
            (false, false) => Self::Healthy,
        }
    }
}

/// What a node is ranked by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rank {
    pub(crate) tier: HealthTier,
    /// Queueing delay as of the last observation, in microseconds.
    pub(crate) delay: f64,
    /// When the last observation was, if there was one.
    pub(crate) delay_updated_at: Option<Micros>,
    /// Time constant with which the delay decays, in microseconds.
    pub(crate) delay_time_constant: f64,
    /// Open units that remain open until the node's next event.
    pub(crate) lasting_units: f64,
}

/// Nodes with nearly the same bound. The numbers are steps of the scales above.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Bucket {
    tier: HealthTier,
    delay: u8,
    freshness: u8,
    units: u8,
}

/// A bucket that a node belongs in for some time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement {
    pub(super) bucket: Bucket,
    /// When the bucket's floor no longer holds for the node.
    pub(super) expires_at: Option<Micros>,
}

/// The lower edge of a bucket by delay, in microseconds.
fn delay_floor(step: u8) -> f64 {
    if step == 0 {
        0.0
    } else {
        FIRST_DELAY_US * DELAY_STEP.powi(i32::from(step) - 1)
    }
}

/// The bucket for a delay.
fn delay_step(delay: f64) -> u8 {
    if delay < FIRST_DELAY_US {
        return 0;
    }
    let steps = (delay / FIRST_DELAY_US).ln() / DELAY_STEP.ln();
    let step = (steps as u8).saturating_add(1);
    // The logarithm may have been rounded up.
    if delay_floor(step) > delay {
        step - 1
    } else {
        step
    }
}

impl Rank {
    fn freshness(&self, now: Micros) -> f64 {
        let Some(updated_at) = self.delay_updated_at else { return 0.0 };
        let age = now.saturating_sub(updated_at) as f64;
        (-age / self.delay_time_constant).exp()
    }

    pub(super) fn placement(&self, now: Micros) -> Placement {
        let freshness = self.freshness(now);
        let delay = delay_step(self.delay * freshness);
        let bucket = Bucket {
            tier: self.tier,
            delay,
            freshness: (freshness * FRESHNESS_STEPS).ceil() as u8,
            units: self.lasting_units as u8,
        };
        Placement { bucket, expires_at: self.expiry(now, delay) }
    }

    /// When the delay falls below its bucket's floor.
    fn expiry(&self, now: Micros, delay_step: u8) -> Option<Micros> {
        let updated_at = self.delay_updated_at.filter(|_| delay_step > 0)?;
        let elapsed = self.delay_time_constant * (self.delay / delay_floor(delay_step)).ln();
        Some((updated_at + elapsed as Micros).max(now) + 1)
    }
}

impl Bucket {
    /// A lower bound of the members' scores.
    pub(super) fn bound(&self, fleet_delay: f64, unit_service_time: f64) -> f64 {
        let stale_part = 1.0 - f64::from(self.freshness) / FRESHNESS_STEPS;
        delay_floor(self.delay) + fleet_delay * stale_part + f64::from(self.units) * unit_service_time
    }

    /// The first possible bucket of a tier.
    pub(super) fn first_of(tier: HealthTier) -> Self {
        Self { tier, delay: 0, freshness: 0, units: 0 }
    }

    /// The last possible bucket of a tier.
    pub(super) fn last_of(tier: HealthTier) -> Self {
        Self { tier, delay: u8::MAX, freshness: u8::MAX, units: u8::MAX }
    }
}
