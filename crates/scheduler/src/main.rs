//! The scheduler as a program: reads its command line, and serves or runs a subcommand.

mod arguments;
mod core_start;
mod descriptor_budget;
mod file_commands;
mod fronts;
mod handover;
mod load_listing;
mod memory_budget;
mod memory_watch;
mod recording;
mod serve;
mod server;
mod shutdown;
mod signals;
mod sockets;
mod startup;

use std::io;
use std::process::ExitCode;

use arguments::{Arguments, Command};
use clap::Parser;
use heathward_config::{Config, FileArguments};

/// Returns memory to the system soon after it is released, and so lets the process fall below a peak again.
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

/// The exit code if the configuration is rejected.
const CONFIGURATION_REJECTED: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.command {
        Some(Command::Check { files }) => return file_commands::check(&files),
        Some(Command::Evaluate { file }) => return file_commands::evaluate(&file),
        None => {}
    }
    let files = arguments.serve.into_files();
    let config = match heathward_config::load(&files) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("heathward: {error}");
            return ExitCode::from(CONFIGURATION_REJECTED);
        }
    };
    if let Some(listing) = &config.load_listing {
        load_listing::print(listing);
        return ExitCode::SUCCESS;
    }
    match serve_on_runtime(config, files) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heathward: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Serves on a single-threaded runtime until the shutdown.
fn serve_on_runtime(config: Config, files: FileArguments) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = runtime.block_on(serve::run(config, files));
    // Does not wait for a reload that is still reading files.
    runtime.shutdown_background();
    result
}
