//! Structured logs on tracing: text or JSON lines on standard error, filtered by target and level.
//!
//! A separate thread writes them from a queue of [`QUEUE_CAPACITY`] lines. If standard error is blocked and
//! the queue is full, further lines are dropped and counted; logging never waits.

use std::fmt;
use std::io::Write;
use std::str::FromStr;

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload::{self, Handle};
use tracing_subscriber::{Layer, Registry};

/// The maximum number of lines that wait to be written.
pub const QUEUE_CAPACITY: usize = 1024;

/// Former names of log targets, each with its current name. Filters in the operators' files may contain
/// either.
const RENAMED_TARGETS: [(&str, &str); 1] = [("heathward_wires", "heathward_transport")];

/// The format of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Time, level, target, message and fields, as text.
    #[default]
    Text,
    /// A JSON object.
    Json,
}

impl FromStr for Format {
    type Err = InvalidLogSetting;

    fn from_str(text: &str) -> Result<Self, InvalidLogSetting> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(InvalidLogSetting),
        }
    }
}

/// Which lines are written: a level for all targets, and levels for single targets, as in
/// `info,heathward_core=debug`.
#[derive(Clone, Debug, PartialEq)]
pub struct Filter(Targets);

impl Default for Filter {
    fn default() -> Self {
        Self(Targets::new().with_default(tracing::Level::INFO))
    }
}

/// An error for a text that is not a valid filter, or not the name of a format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidLogSetting;

impl fmt::Display for InvalidLogSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("neither a format, nor a level, nor a list of target=level")
    }
}

impl std::error::Error for InvalidLogSetting {}

impl FromStr for Filter {
    type Err = InvalidLogSetting;

    fn from_str(text: &str) -> Result<Self, InvalidLogSetting> {
        // The library would accept a misspelt level as a target.
        let is_level = |level: &str| ["off", "error", "warn", "info", "debug", "trace"].contains(&level);
        let ends_with_level = |directive: &str| is_level(directive.rsplit('=').next().unwrap_or_default());
        if !text.split(',').all(ends_with_level) {
            return Err(InvalidLogSetting);
        }
        let directives = text.split(',').map(with_current_target).collect::<Vec<_>>();
        directives.join(",").parse().map(Self).map_err(|_| InvalidLogSetting)
    }
}

/// Returns a directive of a filter with a former target replaced by its current name.
fn with_current_target(directive: &str) -> String {
    let renamed = RENAMED_TARGETS.iter().find_map(|(former, current)| {
        let suffix = directive.strip_prefix(former)?;
        suffix.starts_with(['=', ':']).then(|| format!("{current}{suffix}"))
    });
    renamed.unwrap_or_else(|| directive.to_owned())
}

/// The registry of spans behind the filter.
type FilteredRegistry = tracing_subscriber::layer::Layered<reload::Layer<Targets, Registry>, Registry>;
/// Formats and writes lines; replaced when the format changes.
type LineLayer = Box<dyn Layer<FilteredRegistry> + Send + Sync>;

/// The logs of this process. Dropping it writes the queued lines, for at most 1 s.
pub struct Logs {
    filter: Handle<Targets, Registry>,
    line_layer: Handle<LineLayer, FilteredRegistry>,
    writer: NonBlocking,
    dropped: ErrorCounter,
    _worker: WorkerGuard,
}

fn line_layer(format: Format, writer: NonBlocking) -> LineLayer {
    let layer = tracing_subscriber::fmt::layer().with_writer(writer).with_ansi(false);
    match format {
        Format::Text => Box::new(layer),
        Format::Json => Box::new(layer.json().flatten_event(true)),
    }
}

/// Returns the logs and the subscriber that formats and queues their lines.
fn set_up(
    format: Format,
    filter: Filter,
    output: impl Write + Send + 'static,
) -> (Logs, impl tracing::Subscriber + Send + Sync) {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE_CAPACITY);
    let (writer, worker) = builder.thread_name("logs").finish(output);
    let (reloadable_filter, filter) = reload::Layer::new(filter.0);
    let (reloadable_lines, line_layer) = reload::Layer::new(line_layer(format, writer.clone()));
    let subscriber = Registry::default().with(reloadable_filter).with(reloadable_lines);
    let dropped = writer.error_counter();
    (Logs { filter, line_layer, writer, dropped, _worker: worker }, subscriber)
}

/// Starts writing the logs of this process to standard error. Must be called only once: the logs of a second
/// call are not written.
pub fn start(format: Format, filter: Filter) -> Logs {
    let (logs, subscriber) = set_up(format, filter, std::io::stderr());
    // This fails if a subscriber has been set before, which then stays in place.
    let _ = tracing::subscriber::set_global_default(subscriber);
    logs
}

impl Logs {
    /// Changes the format and the filter for all further lines.
    pub fn reconfigure(&self, format: Format, filter: Filter) {
        // Both calls fail only if the subscriber has been dropped, and with it all logs.
        let _ = self.filter.reload(filter.0);
        let _ = self.line_layer.reload(line_layer(format, self.writer.clone()));
    }

    /// Returns the number of lines dropped so far.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

#[cfg(test)]
mod tests;
