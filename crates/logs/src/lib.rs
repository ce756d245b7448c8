//! Structured logs on tracing: text or JSON lines on standard error, filtered by target and level.
//!
//! A thread of its own writes them, behind a queue of [`WAITING`] lines: while standard error is full or
//! stuck, further lines are dropped and counted, and nobody waits.

use std::fmt;
use std::io::Write;
use std::str::FromStr;

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload::{self, Handle};
use tracing_subscriber::{Layer, Registry};

/// Lines that wait to be written at most.
pub const WAITING: usize = 1024;

/// How a line looks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Time, level, target, words and fields.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

impl FromStr for Format {
    type Err = FilterError;

    fn from_str(text: &str) -> Result<Self, FilterError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(FilterError),
        }
    }
}

/// Which lines are written: levels, for all targets or some, as `info,heathward_core=debug`.
#[derive(Clone, Debug, PartialEq)]
pub struct Filter(Targets);

impl Default for Filter {
    fn default() -> Self {
        Self(Targets::new().with_default(tracing::Level::INFO))
    }
}

/// A text that is no filter, or no format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FilterError;

impl fmt::Display for FilterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("neither a level nor a list of target=level")
    }
}

impl std::error::Error for FilterError {}

impl FromStr for Filter {
    type Err = FilterError;

    fn from_str(text: &str) -> Result<Self, FilterError> {
        // The library takes a word that is no level for a target, so that a slip would pass unseen.
        let level = |word: &str| ["off", "error", "warn", "info", "debug", "trace"].contains(&word);
        let sound = |word: &str| level(word.rsplit('=').next().unwrap_or_default());
        if !text.split(',').all(sound) {
            return Err(FilterError);
        }
        text.parse().map(Self).map_err(|_| FilterError)
    }
}

type Filtered = tracing_subscriber::layer::Layered<reload::Layer<Targets, Registry>, Registry>;
type Lines = Box<dyn Layer<Filtered> + Send + Sync>;

/// The logs of this process. Dropped, it has the lines that wait written, for a second at most.
pub struct Logs {
    filter: Handle<Targets, Registry>,
    lines: Handle<Lines, Filtered>,
    writer: NonBlocking,
    dropped: ErrorCounter,
    _worker: WorkerGuard,
}

fn lines(format: Format, writer: NonBlocking) -> Lines {
    let layer = tracing_subscriber::fmt::layer().with_writer(writer).with_ansi(false);
    match format {
        Format::Text => Box::new(layer),
        Format::Json => Box::new(layer.json().flatten_event(true)),
    }
}

/// What a process sets up, and the subscriber that goes with it.
fn set_up(
    format: Format,
    filter: Filter,
    out: impl Write + Send + 'static,
) -> (Logs, impl tracing::Subscriber + Send + Sync) {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(WAITING);
    let (writer, worker) = builder.thread_name("logs").finish(out);
    let (filter_layer, filter) = reload::Layer::new(filter.0);
    let (lines_layer, lines) = reload::Layer::new(lines(format, writer.clone()));
    let subscriber = Registry::default().with(filter_layer).with(lines_layer);
    let dropped = writer.error_counter();
    (Logs { filter, lines, writer, dropped, _worker: worker }, subscriber)
}

/// Sends this process's logs to standard error. To be called once; a second call's logs go nowhere.
pub fn start(format: Format, filter: Filter) -> Logs {
    let (logs, subscriber) = set_up(format, filter, std::io::stderr());
    // Another subscriber stands: its lines are written, not these.
    let _ = tracing::subscriber::set_global_default(subscriber);
    logs
}

impl Logs {
    /// From now on lines look so, and these are written.
    pub fn change(&self, format: Format, filter: Filter) {
        // Neither fails but without a subscriber, which would have nothing to change.
        let _ = self.filter.reload(filter.0);
        let _ = self.lines.reload(lines(format, self.writer.clone()));
    }

    /// Lines that were dropped so far.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

#[cfg(test)]
mod tests;
