//! Buckets of nodes with nearly the same lower bound of their load.

use crate::api::Micros;

/// Floor of the second bucket by delay, in microseconds; the floor of the first one is 0.
pub(super) const FIRST_DELAY_US: f64 = 50.0;
/// Ratio of the floors of two adjacent buckets by delay.
pub(super) const DELAY_STEP: f64 = 1.25;
/// Number of buckets by freshness.
pub(super) const FRESHNESS_STEPS: f64 = 16.0;

/// Groups of nodes by health; a search visits them in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HealthTier {
    /// Healthy and at full capacity.
    Healthy,
    /// In slow start, or possibly so: the load that it may be sent is often used up.
    SlowStart,
    /// Unresponsive or returning errors; chosen only if no other node is open.
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

/// The values by which a node is ranked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rank {
    pub(crate) tier: HealthTier,
    /// Queueing delay as of the last observation, in microseconds.
    pub(crate) delay: f64,
    /// Time of the last observation, if there is one.
    pub(crate) delay_updated_at: Option<Micros>,
    /// Time constant with which the delay decays, in microseconds.
    pub(crate) delay_time_constant: f64,
    /// Open units that remain in the estimate of the load until the node's next event.
    pub(crate) lasting_units: f64,
}

/// The key of a bucket; the numbers are steps on the scales above.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Bucket {
    tier: HealthTier,
    delay: u8,
    freshness: u8,
    units: u8,
}

/// The bucket of a node, and how long the node belongs in it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement {
    pub(super) bucket: Bucket,
    /// Time from which the bucket's floor no longer holds for the node; `None` if it holds until the node's
    /// next update.
    pub(super) expires_at: Option<Micros>,
}

/// Returns the lower edge of a bucket by delay, in microseconds.
fn delay_floor(step: u8) -> f64 {
    if step == 0 {
        0.0
    } else {
        FIRST_DELAY_US * DELAY_STEP.powi(i32::from(step) - 1)
    }
}

/// Returns the step of the bucket for a delay in microseconds.
fn delay_step(delay: f64) -> u8 {
    if delay < FIRST_DELAY_US {
        return 0;
    }
    let steps = (delay / FIRST_DELAY_US).ln() / DELAY_STEP.ln();
    let step = (steps as u8).saturating_add(1);
    // The quotient of the logarithms may have been rounded up.
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

    /// Returns the time at which the delay falls below its bucket's floor.
    fn expiry(&self, now: Micros, delay_step: u8) -> Option<Micros> {
        let updated_at = self.delay_updated_at.filter(|_| delay_step > 0)?;
        let elapsed = self.delay_time_constant * (self.delay / delay_floor(delay_step)).ln();
        Some((updated_at + elapsed as Micros).max(now) + 1)
    }
}

impl Bucket {
    /// Returns a lower bound of the members' scores, in microseconds.
    pub(super) fn bound(&self, fleet_delay: f64, unit_service_time: f64) -> f64 {
        let stale_fraction = 1.0 - f64::from(self.freshness) / FRESHNESS_STEPS;
        delay_floor(self.delay) + fleet_delay * stale_fraction + f64::from(self.units) * unit_service_time
    }

    /// Returns the lowest possible bucket of a tier.
    pub(super) fn first_of(tier: HealthTier) -> Self {
        Self { tier, delay: 0, freshness: 0, units: 0 }
    }

    /// Returns the highest possible bucket of a tier.
    pub(super) fn last_of(tier: HealthTier) -> Self {
        Self { tier, delay: u8::MAX, freshness: u8::MAX, units: u8::MAX }
    }
}
