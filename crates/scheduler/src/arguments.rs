//! The program's arguments.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use heathward_config::FileArguments;

// This text and the doc comments below that clap prints are part of the command line. They are pinned by
// tests/pinned/fixtures/help.txt.
const AFTER_HELP: &str = "\
Examples:
  GW_CONFIG=examples/config.json heathward
      serves, as the configuration says
  GW_CONFIG=examples/config.json heathward --nvme examples/nvme.json
      serves NVMe hosts too
  heathward check examples/config.json examples/nvme.json
      says whether these files would be taken

Signals:
  TERM, INT   answers everything and ends
  HUP         reads the configuration and the operator file again
  USR1        writes the counters to the log

Environment:
  GW_CONFIG   the configuration, JSON
  GW_OPS      the second address, where the configuration names none";

/// A storage scheduler: decides which requests go to which storage node and when, and gives each one
/// answer.
#[derive(Parser)]
#[command(name = "heathward", version, after_help = AFTER_HELP, args_conflicts_with_subcommands = true)]
pub struct Arguments {
    /// The subcommand; without one the program serves.
    #[command(subcommand)]
    pub command: Option<Command>,
    #[command(flatten)]
    pub serve: ServeArguments,
}

/// The files to read when the program serves or lists a load source.
#[derive(Args)]
pub struct ServeArguments {
    /// Operator file: settings in addition to the configuration, in Jsonnet
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Turns the NVMe front on, with this NVMe map
    #[arg(long, value_name = "FILE")]
    nvme: Option<PathBuf>,
    /// Lists the requests of a HAR file and exits
    #[arg(long, value_name = "FILE", requires = "rules", conflicts_with = "access_log")]
    har: Option<PathBuf>,
    /// Lists the requests of an access log and exits
    #[arg(long, value_name = "FILE", requires = "rules")]
    access_log: Option<PathBuf>,
    /// Rules that turn the entries of a HAR file or an access log into requests
    #[arg(long, value_name = "FILE")]
    rules: Option<PathBuf>,
}

impl ServeArguments {
    /// Returns the files that these arguments name.
    pub fn into_files(self) -> FileArguments {
        let Self { operator, nvme, har, access_log, rules } = self;
        FileArguments { operator, nvme_map: nvme, har, access_log, load_rules: rules }
    }
}

/// The subcommands, which run in place of serving.
#[derive(Subcommand)]
pub enum Command {
    /// Checks whether files are valid, and names the invalid field; exit code 2 if one is invalid
    Check {
        /// Configurations, operator files (.jsonnet), NVMe maps, rules; classes and plans are looked up in
        /// the first configuration, or that of GW_CONFIG
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Evaluates an operator file to JSON, within bounds on time and memory
    #[command(hide = true)]
    Evaluate { file: PathBuf },
}
