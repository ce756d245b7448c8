//! Evaluates an operator file in a child process, and kills that process if it takes too long.

use std::io::Read;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use heathward_policy::settings::ConfigError;

use super::{JsonnetError, MAX_RESULT_BYTES};

/// The maximum duration of an evaluation, which allows for a busy machine. The limit on CPU time is far
/// lower.
const MAX_EVALUATION_TIME: Duration = Duration::from_secs(10);
/// The interval at which the end of the child process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The exit code of a child process that rejects the file.
const REJECTED_EXIT_CODE: i32 = 2;

/// Evaluates an operator file to JSON in a child process, `program evaluate FILE`, which must call
/// [`limit_process_resources`](super::limit_process_resources) and
/// [`evaluate_jsonnet`](super::evaluate_jsonnet).
///
/// # Errors
/// The reason why the file cannot be evaluated, such as that it needs more time or memory than is allowed.
pub fn evaluate_in_child_process(program: &Path, path: &Path) -> Result<String, ConfigError> {
    run(program, path).map_err(|error| error.with_path(path))
}

fn run(program: &Path, path: &Path) -> Result<String, JsonnetError> {
    let mut command = Command::new(program);
    command.arg("evaluate").arg(path).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().map_err(JsonnetError::Start)?;
    let stdout = child.stdout.take().map(read_in_background);
    let stderr = child.stderr.take().map(read_in_background);
    let status = wait_or_kill(&mut child);
    let (json, message) = (join_reader(stdout), join_reader(stderr));
    match status.and_then(|status| status.code()) {
        Some(0) => Ok(json),
        Some(REJECTED_EXIT_CODE) => Err(JsonnetError::Rejected(
            message.lines().next().unwrap_or("rejected without a message").to_owned(),
        )),
        _ => Err(JsonnetError::LimitsExceeded),
    }
}

/// Waits for the child process to end; `None` if it took too long and was killed.
fn wait_or_kill(child: &mut Child) -> Option<ExitStatus> {
    let deadline = Instant::now() + MAX_EVALUATION_TIME;
    loop {
        match child.try_wait() {
            Ok(Some(status)) => return Some(status),
            Ok(None) if Instant::now() < deadline => std::thread::sleep(POLL_INTERVAL),
            Ok(None) | Err(_) => {
                // Either fails only if the child process has ended meanwhile.
                let _ = child.kill();
                let _ = child.wait();
                return None;
            }
        }
    }
}

/// Reads a pipe on a separate thread, so that a child process that writes much is not blocked. Text beyond
/// twice the maximum size of a result is not read.
fn read_in_background(pipe: impl Read + Send + 'static) -> JoinHandle<String> {
    std::thread::spawn(move || {
        let mut text = String::new();
        // An incomplete text is rejected when it is decoded.
        let _ = pipe.take(2 * MAX_RESULT_BYTES).read_to_string(&mut text);
        text
    })
}

/// Waits for a reader and returns the text that it has read; empty if there was no pipe.
fn join_reader(reader: Option<JoinHandle<String>>) -> String {
    reader.and_then(|reader| reader.join().ok()).unwrap_or_default()
}
