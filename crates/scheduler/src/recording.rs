//! Controls the event recorder that the operator file configures: starts it, replaces it after a reload, and
//! stops it.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::Duration;

use heathward_core::CoreHandle;
use heathward_event_log::Writer;
use heathward_event_recorder::{Recorder, RecorderSettings, FINAL_WRITE_TIMEOUT};
use tokio::time::{sleep_until, Instant};

/// How often the end of the writer thread is polled.
const WRITER_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The event recorder, if the operator file turns it on.
#[derive(Default)]
pub struct EventRecording {
    active: Option<ActiveRecording>,
}

/// A running recorder.
struct ActiveRecording {
    settings: RecorderSettings,
    writer: Writer,
    /// The disk faults that have been logged.
    reported: DiskFaults,
}

/// Counts of disk faults since the recorder was started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DiskFaults {
    /// Writes that failed.
    failures: u64,
    /// Events that were dropped.
    lost: u64,
}

impl EventRecording {
    /// Starts a recorder with these settings, or stops recording if there are none. A recorder that runs with
    /// the same settings keeps running. If the recorder cannot start, the error is logged and the scheduler
    /// serves without it.
    pub async fn apply(
        &mut self,
        settings: Option<RecorderSettings>,
        scheduler_name: &str,
        core: &CoreHandle,
    ) {
        if self.active.as_ref().map(|active| &active.settings) == settings.as_ref() {
            return;
        }
        self.stop(core).await;
        let Some(settings) = settings else { return };
        // Distinguishes this run from all others of the scheduler. The standard library seeds its hashers
        // with random numbers from the system.
        let boot_id = RandomState::new().build_hasher().finish();
        match Recorder::start(&settings, scheduler_name, boot_id, &core.deployment()) {
            Ok((recorder, writer)) => {
                core.set_observer(Some(Box::new(recorder))).await;
                tracing::info!(folder = %settings.folder.display(), "event recorder started");
                self.active = Some(ActiveRecording { settings, writer, reported: DiskFaults::default() });
            }
            Err(error) => tracing::error!("event recorder not started: {error}"),
        }
    }

    /// Stops recording and waits for the last events to be written, at most [`FINAL_WRITE_TIMEOUT`]: a disk
    /// that does not respond must not hold up the shutdown.
    pub async fn stop(&mut self, core: &CoreHandle) {
        let Some(ActiveRecording { writer, .. }) = self.active.take() else { return };
        core.set_observer(None).await;
        let deadline = Instant::now() + FINAL_WRITE_TIMEOUT;
        while !writer.is_finished() && Instant::now() < deadline {
            sleep_until(Instant::now() + WRITER_POLL_INTERVAL).await;
        }
        if !writer.is_finished() {
            tracing::warn!("the last events are not recorded: the disk does not respond");
        }
    }

    /// Logs disk faults since the last call.
    pub fn report_disk_faults(&mut self) {
        let Some(ActiveRecording { settings, writer, reported }) = &mut self.active else { return };
        let statistics = writer.statistics();
        let (failures, lost) = (statistics.failures(), statistics.lost());
        if failures > reported.failures || lost > reported.lost {
            let folder = settings.folder.display();
            tracing::warn!(%folder, failures, lost, "events cannot be recorded; requests are still served");
        }
        *reported = DiskFaults { failures, lost };
    }
}
