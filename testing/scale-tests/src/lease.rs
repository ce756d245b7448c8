//! The core's list lease on the virtual clock.

use std::time::Duration;

use heathward_core::endpoint_lease;
use heathward_policy::Micros;
use tokio::time::Instant;

/// Whether a scheduler may still send by the list that it has.
#[derive(Clone, Copy, Debug)]
pub struct ListLease {
    /// Stands for virtual time 0; nothing reads the clock after it.
    epoch: Instant,
    lease: endpoint_lease::EndpointLease,
}

impl ListLease {
    /// The lease of a scheduler that starts at that time. `epoch` is any instant, the same for a whole fleet.
    pub fn new(epoch: Instant, start: Micros, drain_rule: bool) -> Self {
        let mut lease = endpoint_lease::EndpointLease::new(epoch + Duration::from_micros(start));
        lease.set_limits(drain_rule, None);
        Self { epoch, lease }
    }

    /// A line came, be it an empty one.
    pub fn heard(&mut self, at: Micros) {
        self.lease.record_contact(self.instant(at));
    }

    /// The list may be used.
    pub fn holds(&self, at: Micros) -> bool {
        self.lease.is_valid(self.instant(at))
    }

    /// When that changes next if no line comes.
    pub fn changes(&self, at: Micros) -> Option<Micros> {
        let change = self.lease.next_change(self.instant(at))?;
        Some(change.saturating_duration_since(self.epoch).as_micros() as Micros)
    }

    fn instant(&self, at: Micros) -> Instant {
        self.epoch + Duration::from_micros(at)
    }
}
