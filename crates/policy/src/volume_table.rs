//! The volumes that this host knows of, in order of their latest request.

use std::collections::BTreeMap;

use crate::api::{Micros, VolumeId};
use crate::recency::Recency;
use crate::state::{seconds, Volume};

#[derive(Clone, Debug, Default)]
pub(crate) struct VolumeTable {
    records: BTreeMap<VolumeId, Volume>,
    times: Recency<VolumeId>,
}

impl VolumeTable {
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn get(&self, id: &VolumeId) -> Option<&Volume> {
        self.records.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &VolumeId) -> Option<&mut Volume> {
        self.records.get_mut(id)
    }

    /// A volume's record, made by `new` where there is none.
    pub(crate) fn entry(&mut self, id: VolumeId, new: impl FnOnce() -> Volume) -> &mut Volume {
        self.records.entry(id).or_insert_with(new)
    }

    /// Notes that a request for the volume has come now.
    pub(crate) fn note_request(&mut self, now: Micros, id: VolumeId) {
        let Some(volume) = self.records.get_mut(&id) else { return };
        self.times.touch(volume.requested_at, now, id);
        volume.requested_at = now;
    }

    /// Lets a volume's use fade to now, over a span in seconds.
    pub(crate) fn fade(&mut self, now: Micros, id: VolumeId, span: f64) -> Option<&mut Volume> {
        let volume = self.records.get_mut(&id)?;
        let kept = (-seconds(now.saturating_sub(volume.rates_updated_at)) / span).exp();
        (volume.requested_rate, volume.sent_rate, volume.rates_updated_at) =
            (volume.requested_rate * kept, volume.sent_rate * kept, now);
        Some(volume)
    }

    /// Forgets volumes last asked for at `old` or before, but for those to keep. It walks these alone.
    pub(crate) fn forget_idle(&mut self, old: Micros, keep: impl Fn(&Volume) -> bool) {
        let idle: Vec<(Micros, VolumeId)> = self.times.until(old).collect();
        for (requested, id) in idle {
            if !self.records.get(&id).is_some_and(&keep) {
                self.records.remove(&id);
                self.times.remove(requested, id);
            }
        }
    }
}
