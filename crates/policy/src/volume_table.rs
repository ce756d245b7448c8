//! The volumes known to this scheduler, with an index by their latest request.

use std::collections::BTreeMap;

use crate::api::{Micros, VolumeId};
use crate::recency::{LastUse, Recency};
use crate::volume::Volume;

/// Volumes by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct VolumeTable {
    volumes: BTreeMap<VolumeId, Volume>,
    by_last_request: Recency<VolumeId>,
}

impl VolumeTable {
    pub(crate) fn len(&self) -> usize {
        self.volumes.len()
    }

    pub(crate) fn get(&self, id: &VolumeId) -> Option<&Volume> {
        self.volumes.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &VolumeId) -> Option<&mut Volume> {
        self.volumes.get_mut(id)
    }

    /// Returns the volume of a request that arrives now, created by `create` if it is not known yet.
    pub(crate) fn on_request(
        &mut self,
        now: Micros,
        id: VolumeId,
        create: impl FnOnce() -> Volume,
    ) -> &mut Volume {
        let volume = self.volumes.entry(id).or_insert_with(create);
        self.by_last_request.touch(volume.requested_at, now, id);
        volume.requested_at = now;
        volume
    }

    /// Removes volumes that were last requested at `until` or before, except those to keep. Only these
    /// volumes are visited.
    pub(crate) fn remove_idle(&mut self, until: Micros, keep: impl Fn(&Volume) -> bool) {
        let idle: Vec<LastUse<VolumeId>> = self.by_last_request.until(until).collect();
        for last_request in idle {
            if !self.volumes.get(&last_request.key).is_some_and(&keep) {
                self.volumes.remove(&last_request.key);
                self.by_last_request.remove(&last_request);
            }
        }
    }
}
