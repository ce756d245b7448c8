//! Keeps records as the operator file says: starts, changes and ends with the service.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::Duration;

use heathward_core::CoreHandle;
use heathward_event_log::Writer;
use heathward_event_recorder::{Recorder, Settings, LAST_WRITES};
use tokio::time::{sleep_until, Instant};

/// How often the writer's end is looked for.
const LOOK: Duration = Duration::from_millis(2);

/// The records that are kept, if any.
#[derive(Default)]
pub struct Records {
    kept: Option<(Settings, Writer)>,
    /// Events lost to the disk that were told of, and whether its failing was.
    told: (u64, u64),
}

impl Records {
    /// Keeps records as the settings say from now on. Where they stay as they are, so do the records.
    pub async fn keep(&mut self, settings: Option<Settings>, name: &str, core: &CoreHandle) {
        if self.kept.as_ref().map(|(kept, _)| kept) == settings.as_ref() {
            return;
        }
        self.finish(core).await;
        let Some(settings) = settings else { return };
        // Drawn by the system: tells this run from all others.
        let boot = RandomState::new().build_hasher().finish();
        match Recorder::start(&settings, name, boot, &core.deployment()) {
            Ok((recorder, writer)) => {
                core.set_observer(Some(Box::new(recorder))).await;
                tracing::info!(folder = %settings.folder.display(), "records are kept");
                self.kept = Some((settings, writer));
                self.told = (0, 0);
            }
            Err(error) => tracing::error!("no records: {error}"),
        }
    }

    /// Ends them, once what waits is written; a disk that is stuck is not waited for.
    pub async fn finish(&mut self, core: &CoreHandle) {
        let Some((_, writer)) = self.kept.take() else { return };
        core.set_observer(None).await;
        let by = Instant::now() + LAST_WRITES;
        while !writer.is_finished() && Instant::now() < by {
            sleep_until(Instant::now() + LOOK).await;
        }
        if !writer.is_finished() {
            tracing::warn!("the last records are not written: the disk does not answer");
        }
    }

    /// Says in the log what went wrong with them since that was said last.
    pub fn tell(&mut self) {
        let Some((settings, writer)) = &self.kept else { return };
        let health = writer.statistics();
        let (failures, lost) = (health.failures(), health.lost());
        if failures > self.told.0 || lost > self.told.1 {
            let folder = settings.folder.display();
            tracing::warn!(%folder, failures, lost, "the disk takes no records; the scheduler serves on");
        }
        self.told = (failures, lost);
    }
}
