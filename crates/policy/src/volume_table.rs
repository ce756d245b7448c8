//! The volumes known to this scheduler, with an index by their latest request.

use std::collections::BTreeMap;

use crate::api::{Micros, VolumeId};
use crate::recency::{LastUse, Recency};
use crate::volume::Volume;

/// The most volumes that are remembered; a request of a further one is shed while none can be forgotten.
pub(crate) const MAX_VOLUMES: usize = 8192;
/// The most volumes that are visited to find one that can be forgotten.
const MAX_CANDIDATES: usize = 16;

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

    /// Makes room for a volume, if it is not known yet and [`MAX_VOLUMES`] are: removes the one that was not
    /// requested for the longest time, of those that need not be kept. Only [`MAX_CANDIDATES`] are visited.
    /// Returns whether there is room.
    pub(crate) fn make_room_for(&mut self, id: &VolumeId, keep: impl Fn(&Volume) -> bool) -> bool {
        if self.volumes.contains_key(id) || self.volumes.len() < MAX_VOLUMES {
            return true;
        }
        let Some(last_request) = self.oldest_removable(keep) else { return false };
        self.volumes.remove(&last_request.key);
        self.by_last_request.remove(&last_request);
        true
    }

    fn oldest_removable(&self, keep: impl Fn(&Volume) -> bool) -> Option<LastUse<VolumeId>> {
        let mut candidates = self.by_last_request.until(Micros::MAX).take(MAX_CANDIDATES);
        candidates.find(|candidate| !self.volumes.get(&candidate.key).is_some_and(&keep))
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
