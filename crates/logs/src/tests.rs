use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;

use super::*;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A writer that reports the start of each write and blocks until it is released.
struct BlockedWriter(Sender<()>, Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.send(());
        let _ = self.1.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[rstest]
#[case("info", true)]
#[case("warn,heathward_core=debug", true)]
#[case("off", true)]
#[case("", false)]
#[case("loud", false)]
#[case("heathward_core=loud", false)]
#[case("info,", false)]
fn a_filter_is_a_level_or_targets_with_levels(#[case] text: &str, #[case] valid: bool) {
    assert_eq!(text.parse::<Filter>().is_ok(), valid);
}

#[test]
fn format_and_filter_can_be_changed_at_runtime() {
    let buffer = SharedBuffer::default();
    let (logs, subscriber) = set_up(Format::Text, "info,quiet=warn".parse().unwrap(), buffer.clone());
    tracing::subscriber::with_default(subscriber, || {
        tracing::info!(node = "s-1", "first");
        tracing::info!(target: "quiet", "never");
        tracing::debug!("never");
        logs.reconfigure(Format::Json, "debug".parse().unwrap());
        tracing::debug!(node = "s-2", "second");
        tracing::info!(target: "quiet", "third");
    });
    drop(logs);
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains(" INFO ") && lines[0].ends_with("first node=\"s-1\""), "{text}");
    assert!(lines[1].starts_with('{') && lines[1].contains(r#""message":"second","node":"s-2""#), "{text}");
    assert!(lines[2].contains(r#""message":"third""#), "{text}");
}

/// Lines that do not fit into the queue are dropped and counted.
#[test]
fn logging_does_not_wait_for_a_blocked_writer() {
    let ((begun_sender, begun_receiver), (release_sender, release_receiver)) = (channel(), channel());
    let (logs, subscriber) =
        set_up(Format::Text, Filter::default(), BlockedWriter(begun_sender, release_receiver));
    let excess_lines = 500;
    let elapsed = tracing::subscriber::with_default(subscriber, || {
        tracing::info!("stuck");
        begun_receiver.recv().unwrap();
        let start = Instant::now();
        (0..QUEUE_CAPACITY + excess_lines).for_each(|index| tracing::info!(index, "line"));
        start.elapsed()
    });
    assert_eq!(logs.dropped_lines(), excess_lines);
    // A logger that waits would never return; the bound allows for a loaded machine.
    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
    drop(release_sender);
}

/// A filter in an operator's file must keep its effect when a crate, and thus its target, was renamed.
#[rstest::rstest]
#[case::crate_name("warn,heathward_wires=debug", "warn,heathward_transport=debug")]
#[case::module("info,heathward_wires::discovery=trace", "info,heathward_transport::discovery=trace")]
#[case::another_target("info,heathward_wires_of_others=trace", "info,heathward_wires_of_others=trace")]
fn a_former_target_is_replaced_by_its_current_name(#[case] former: &str, #[case] current: &str) {
    assert_eq!(former.parse::<Filter>(), current.parse::<Filter>());
    assert!(former.parse::<Filter>().is_ok());
}
