//! The subcommands that read files and serve nothing: `heathward check` and `heathward evaluate`.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use heathward_config as config;

/// The exit code if a file would be rejected.
const REJECTED: u8 = 2;

/// `heathward check`: prints a line for each file, with its kind or with the field at fault.
pub fn check(files: &[PathBuf]) -> ExitCode {
    let environment = std::env::var_os("GW_CONFIG").map(PathBuf::from);
    let configurations = files.iter().chain(&environment).map(PathBuf::as_path);
    let deployment = config::first_deployment(configurations);
    let mut all_valid = true;
    for path in files.iter().map(PathBuf::as_path) {
        match config::check_file(path, deployment.as_ref()) {
            Ok(kind) => println!("{}: {}, would be taken", path.display(), kind.display_name()),
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                all_valid = false;
            }
        }
    }
    if all_valid {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(REJECTED)
    }
}

/// `heathward evaluate`: prints an operator file as JSON, within limits on CPU time and memory. The scheduler
/// starts this command as a child process, so that a file that exceeds the limits does not affect the
/// scheduler.
pub fn evaluate(file: &Path) -> ExitCode {
    if let Err(error) = config::limit_process_resources() {
        return reject(error);
    }
    match config::evaluate_jsonnet(file) {
        Ok(json) => {
            print!("{json}");
            ExitCode::SUCCESS
        }
        Err(error) => reject(error.reason),
    }
}

fn reject(reason: impl Display) -> ExitCode {
    eprintln!("{reason}");
    ExitCode::from(REJECTED)
}
