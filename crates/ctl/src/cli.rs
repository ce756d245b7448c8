//! The arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

use crate::report::Moment;

const EXAMPLES: &str = "\
Examples:
  heathwardctl status --at 127.0.0.1:9901,127.0.0.1:9902
  heathwardctl metrics --at 127.0.0.1:9901 --json
  heathwardctl suspend s-7 --at 127.0.0.1:9901
  heathwardctl report /var/lib/heathward/records --from 09:00 --to 09:10 -o incident.html
  heathwardctl console /var/lib/heathward/records --at 127.0.0.1:9901
  heathwardctl load list --access-log access.log --rules rules.json
  heathwardctl completions bash > /etc/bash_completion.d/heathwardctl

Exit codes: 0 done, 1 refused by the scheduler or found wrong, 2 wrong use, 3 nobody answers.
Of several addresses the worst counts.";

/// Operates heathward's schedulers: orders, figures, sources of load.
#[derive(Parser)]
#[command(name = "heathwardctl", version, after_help = EXAMPLES)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Subcommand)]
pub enum Command {
    /// Whether the scheduler can serve
    Status(To),
    /// Its figures
    Metrics {
        #[command(flatten)]
        to: To,
        /// One JSON object for each address, a line each
        #[arg(long)]
        json: bool,
        /// Again every so many seconds, until interrupted
        #[arg(long, value_name = "SECONDS", value_parser = seconds)]
        watch: Option<Duration>,
    },
    /// Takes a storage node out: nothing new goes there
    Suspend {
        /// Its id, as discovery lists it
        node: String,
        #[command(flatten)]
        to: To,
    },
    /// Puts a storage node back
    Restore {
        /// Its id, as discovery lists it
        node: String,
        #[command(flatten)]
        to: To,
    },
    /// Sends clients away
    Pause(To),
    /// Takes clients again
    Resume(To),
    /// Sources of load
    #[command(subcommand)]
    Load(LoadCommand),
    /// Records as they lie in files
    #[command(subcommand)]
    Records(RecordsCommand),
    /// What records of one or many schedulers come to; exit code 1 if a rule was seen broken
    ///
    /// Without -o, --json and --csv it prints the findings.
    Report(ReportOf),
    /// The fleet as it stands (--live or --at), or as it stood at any moment of its records
    Console(ConsoleOf),
    /// Prints completions for a shell
    Completions { shell: Shell },
}

/// Which schedulers.
#[derive(Args, Clone, Debug)]
pub struct To {
    /// Second addresses, one or several
    #[arg(
        long = "at",
        value_name = "ADDRESS",
        env = "HEATHWARD_OPS",
        value_delimiter = ',',
        required = true
    )]
    pub addresses: Vec<SocketAddr>,
    /// How long to wait for an answer
    #[arg(long, value_name = "SECONDS", default_value = "3", value_parser = seconds)]
    pub wait: Duration,
}

/// What to do with a source of load.
#[derive(Subcommand)]
pub enum LoadCommand {
    /// Lists the requests of a HAR file or an access log, a line each; sends nothing
    List(SourceOf),
}

/// What a report is made of, and where it goes.
#[derive(Args)]
pub struct ReportOf {
    /// Folders of segments, or segments, of one or many schedulers
    #[arg(required = true, value_name = "PATH")]
    pub paths: Vec<PathBuf>,
    /// From then: HH:MM[:SS] UTC of the day on which the records end, RFC 3339, or Unix seconds
    #[arg(long, value_name = "TIME", value_parser = Moment::parse)]
    pub from: Option<Moment>,
    /// To then
    #[arg(long, value_name = "TIME", value_parser = Moment::parse)]
    pub to: Option<Moment>,
    /// One self-contained HTML file
    #[arg(short, long, value_name = "FILE")]
    pub output: Option<PathBuf>,
    /// The same tables as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// The same tables as CSV files in a folder
    #[arg(long, value_name = "FOLDER")]
    pub csv: Option<PathBuf>,
}

/// What the console shows.
#[derive(Args)]
pub struct ConsoleOf {
    /// Folders of segments, or segments, of one or many schedulers
    #[arg(required = true, value_name = "PATH")]
    pub paths: Vec<PathBuf>,
    /// Follows records that are being written
    #[arg(long)]
    pub live: bool,
    /// Second addresses of the schedulers, for orders; implies --live
    #[arg(long = "at", value_name = "ADDRESS", env = "HEATHWARD_OPS", value_delimiter = ',')]
    pub to: Vec<SocketAddr>,
    /// How long to wait for an order's answer
    #[arg(long, value_name = "SECONDS", default_value = "3", value_parser = seconds)]
    pub wait: Duration,
    /// Without colours, as with NO_COLOR in the environment
    #[arg(long)]
    pub no_color: bool,
}

/// What to do with records.
#[derive(Subcommand)]
pub enum RecordsCommand {
    /// Says of each run of a scheduler whether its records are whole; exit code 1 if not
    Verify {
        /// Folders of segments, or segments
        #[arg(required = true, value_name = "PATH")]
        paths: Vec<PathBuf>,
    },
    /// Prints every event
    Show {
        /// Folders of segments, or segments
        #[arg(required = true, value_name = "PATH")]
        paths: Vec<PathBuf>,
    },
    /// Writes every event as a JSON object, a line each
    Export {
        /// Folders of segments, or segments
        #[arg(required = true, value_name = "PATH")]
        paths: Vec<PathBuf>,
        /// The file, in place of standard output
        #[arg(short = 'o', long = "output", value_name = "FILE")]
        to: Option<PathBuf>,
    },
}

/// A source of load and its rules.
#[derive(Args)]
pub struct SourceOf {
    /// A HAR file
    #[arg(long, value_name = "FILE", required_unless_present = "access_log", conflicts_with = "access_log")]
    pub har: Option<PathBuf>,
    /// An access log, Common or Combined Log Format
    #[arg(long, value_name = "FILE")]
    pub access_log: Option<PathBuf>,
    /// How entries become requests
    #[arg(long, value_name = "FILE")]
    pub rules: PathBuf,
}

/// A span in seconds, with a fraction where wanted: 0.1 to 3600.
fn seconds(text: &str) -> Result<Duration, String> {
    let value: f64 = text.parse().map_err(|_| "no number of seconds".to_owned())?;
    if (0.1..=3600.0).contains(&value) {
        Ok(Duration::from_secs_f64(value))
    } else {
        Err("0.1 to 3600 seconds".to_owned())
    }
}
