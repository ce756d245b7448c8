//! Evaluates operator files, which are written in Jsonnet.
//!
//! A file that loops, grows without bound or imports from outside its folder must not harm the process that
//! reads it. Therefore its source and its imports are checked before anything is evaluated, and it is
//! evaluated in a child process whose CPU time and memory the system limits. (The library limits the call
//! depth but not the number of steps, and a thread cannot be stopped.)

mod child_process;
mod imports;

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use heathward_policy::settings::ConfigError;
use jrsonnet_evaluator::{EvaluationState, FileImportResolver, ManifestFormat};
use rustix::process::{setrlimit, Resource, Rlimit};
use thiserror::Error;

pub use child_process::evaluate_in_child_process;
use imports::{find_imports, ImportError};

/// The maximum size of an operator file with all its imports, bytes.
const MAX_SOURCE_BYTES: u64 = 256 * 1024;
/// The maximum number of files: the operator file and its imports.
const MAX_SOURCE_FILES: usize = 32;
/// The maximum size of the JSON that an operator file evaluates to, bytes.
const MAX_RESULT_BYTES: u64 = 256 * 1024;
/// The maximum depth of nested calls.
const MAX_CALL_DEPTH: usize = 200;
/// The limit on the CPU time of an evaluation, seconds.
const MAX_CPU_SECONDS: u64 = 2;
/// The limit on the memory of an evaluation, MB.
const MAX_MEMORY_MB: u64 = 512;
/// The number of lines of the evaluator's message that are reported: the error and its location, without the
/// call stack.
const MAX_MESSAGE_LINES: usize = 2;

/// Why an operator file cannot be evaluated.
#[derive(Debug, Error)]
enum JsonnetError {
    #[error("over {MAX_SOURCE_FILES} files")]
    TooManyFiles,
    #[error("over {MAX_SOURCE_BYTES} bytes with what it imports")]
    SourceTooLarge,
    /// The operator file itself is invalid.
    #[error(transparent)]
    Source(SourceError),
    /// A file that it imports is invalid.
    #[error("{}: {error}", name.display())]
    ImportedSource { name: OsString, error: SourceError },
    /// The evaluator's message.
    #[error("{0}")]
    Evaluation(String),
    #[error("evaluates to {bytes} bytes, {MAX_RESULT_BYTES} at most")]
    ResultTooLarge { bytes: usize },
    /// The child process cannot be started.
    #[error(transparent)]
    Start(io::Error),
    /// The child process's message.
    #[error("{0}")]
    Rejected(String),
    #[error("needs over {MAX_CPU_SECONDS} s of a core, {MAX_MEMORY_MB} MB or {MAX_CALL_DEPTH} calls")]
    LimitsExceeded,
}

/// Why one source file cannot be used.
#[derive(Debug, Error)]
enum SourceError {
    #[error(transparent)]
    Read(#[from] io::Error),
    #[error("no plain file")]
    NotARegularFile,
    #[error(transparent)]
    Import(#[from] ImportError),
}

impl JsonnetError {
    /// Converts this error to one that names the path of the operator file.
    fn with_path(self, path: &Path) -> ConfigError {
        ConfigError { field: format!("operator file {}", path.display()), reason: self.to_string() }
    }
}

/// Evaluates an operator file to JSON in this process, which must have been started for this purpose alone.
///
/// # Errors
/// The reason why the file cannot be evaluated, in one line.
pub fn evaluate_jsonnet(path: &Path) -> Result<String, ConfigError> {
    check_sources(path).and_then(|()| evaluate_checked(path)).map_err(|error| error.with_path(path))
}

/// Limits the CPU time and the memory of this process to those of an evaluation. Must be called before
/// [`evaluate_jsonnet`].
///
/// # Errors
/// The error of the system if a limit cannot be set.
pub fn limit_process_resources() -> io::Result<()> {
    let limit = |max| Rlimit { current: Some(max), maximum: Some(max) };
    setrlimit(Resource::Cpu, limit(MAX_CPU_SECONDS))?;
    setrlimit(Resource::As, limit(MAX_MEMORY_MB << 20))?;
    // Reaching a limit may crash the process, and is not worth a core dump.
    setrlimit(Resource::Core, limit(0))?;
    Ok(())
}

/// Returns a path to the executable of this process that stays valid after the file has been replaced.
pub fn current_executable() -> PathBuf {
    PathBuf::from("/proc/self/exe")
}

fn evaluate_checked(path: &Path) -> Result<String, JsonnetError> {
    let state = EvaluationState::default();
    state.with_stdlib();
    state.set_max_stack(MAX_CALL_DEPTH);
    state.set_import_resolver(Box::new(FileImportResolver::default()));
    state.set_manifest_format(ManifestFormat::Json(0));
    let evaluated = state.evaluate_file_raw(path).and_then(|value| state.manifest(value));
    let json = evaluated.map_err(|error| {
        let message = state.stringify_err(&error);
        let lines = message.lines().map(str::trim).filter(|line| !line.is_empty());
        JsonnetError::Evaluation(lines.take(MAX_MESSAGE_LINES).collect::<Vec<_>>().join(" "))
    })?;
    if json.len() as u64 > MAX_RESULT_BYTES {
        return Err(JsonnetError::ResultTooLarge { bytes: json.len() });
    }
    Ok(json.to_string())
}

/// Checks an operator file and everything that it imports, without evaluating any of it.
fn check_sources(path: &Path) -> Result<(), JsonnetError> {
    let folder = path.parent().unwrap_or(Path::new(""));
    let mut visited = BTreeSet::new();
    let mut pending = vec![path.to_owned()];
    let mut total_bytes = 0;
    while let Some(file) = pending.pop() {
        if !visited.insert(file.clone()) {
            continue;
        }
        if visited.len() > MAX_SOURCE_FILES {
            return Err(JsonnetError::TooManyFiles);
        }
        let in_file = |error: SourceError| match file.file_name() {
            Some(name) if file != path => JsonnetError::ImportedSource { name: name.to_owned(), error },
            _ => JsonnetError::Source(error),
        };
        // The operator file itself may be a symbolic link; a file that it imports may not.
        let source = read_source(&file, file == path).map_err(in_file)?;
        total_bytes += source.len() as u64;
        if total_bytes > MAX_SOURCE_BYTES {
            return Err(JsonnetError::SourceTooLarge);
        }
        let names = find_imports(&source).map_err(|error| in_file(error.into()))?;
        pending.extend(names.into_iter().map(|name| folder.join(name)));
    }
    Ok(())
}

/// Reads a source file, up to one byte more than the limit for all files together; the caller checks the sum.
/// Rejects symbolic links, which could lead out of the folder, unless `allow_symlink`, and rejects pipes,
/// which might never end.
fn read_source(file: &Path, allow_symlink: bool) -> Result<String, SourceError> {
    let is_regular_file = file.symlink_metadata()?.is_file() || (allow_symlink && file.is_file());
    if !is_regular_file {
        return Err(SourceError::NotARegularFile);
    }
    let mut source = String::new();
    std::fs::File::open(file)?.take(MAX_SOURCE_BYTES + 1).read_to_string(&mut source)?;
    Ok(source)
}

#[cfg(test)]
mod tests;
