//! `heathward check`: whether files would be taken.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use heathward_config as config;

/// A line for each file: taken as what, or the field at fault.
pub fn run(files: &[PathBuf]) -> ExitCode {
    let environment = std::env::var_os("GW_CONFIG").map(PathBuf::from);
    let named = files.iter().chain(&environment).map(PathBuf::as_path);
    let deployment = config::first_deployment(named);
    let mut sound = true;
    for path in files.iter().map(PathBuf::as_path) {
        match config::check_file(path, deployment.as_ref()) {
            Ok(kind) => println!("{}: {}, would be taken", path.display(), kind.display_name()),
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                sound = false;
            }
        }
    }
    if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(2)
    }
}

/// `heathward evaluate`: what a process does that was started for one operator file.
pub fn evaluate(file: &Path) -> ExitCode {
    let evaluated = config::bound_this_process().map_err(|e| e.to_string());
    match evaluated.and_then(|()| config::evaluate(file).map_err(|e| e.reason)) {
        Ok(json) => {
            print!("{json}");
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
    }
}
