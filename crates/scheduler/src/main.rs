//! The scheduler as a program: its arguments, and its end by them.

mod arguments;
mod core_start;
mod file_commands;
mod handover;
mod load_listing;
mod recording;
mod serve;
mod shutdown;

use std::process::ExitCode;

use arguments::{Arguments, Command};
use clap::Parser;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.command {
        Some(Command::Check { files }) => return file_commands::run(&files),
        Some(Command::Evaluate { file }) => return file_commands::evaluate(&file),
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
        load_listing::print(source, rules);
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
