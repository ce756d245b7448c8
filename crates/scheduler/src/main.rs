//! The scheduler as a program: its arguments, and its end by them.

mod check;
mod cli;
mod listing;
mod records;
mod serve;
mod shutdown;
mod start;
mod takeover;

use std::process::ExitCode;

use clap::Parser;
use cli::{Arguments, Command};

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.command {
        Some(Command::Check { files }) => return check::run(&files),
        Some(Command::Evaluate { file }) => return check::evaluate(&file),
        None => {}
    }
    let files = arguments.serve.files();
    let config = match heathward_config::load(&files) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("heathward: {error}");
            return ExitCode::from(2);
        }
    };
    if let Some((source, rules)) = &config.load_source {
        listing::print(source, rules);
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.and_then(|runtime| runtime.block_on(serve::run(config, files))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heathward: {error}");
            ExitCode::FAILURE
        }
    }
}
