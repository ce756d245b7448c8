//! Operator files are Jsonnet. One that loops, blows up or reaches outside its folder must not harm whoever
//! reads it: it is looked through first, and evaluated in a process of its own, whose time and memory the
//! system bounds. (The library counts depth, but no steps, and a thread can't be stopped.)

use std::collections::BTreeSet;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use heathward_policy::settings::ConfigError;
use jrsonnet_evaluator::{EvaluationState, FileImportResolver, ManifestFormat};
use rustix::process::{setrlimit, Resource, Rlimit};

/// All files that an operator file is made of, bytes in all and how many.
const SOURCE: (u64, usize) = (256 * 1024, 32);
/// What it evaluates to, bytes.
const RESULT: u64 = 256 * 1024;
/// Calls within calls.
const DEPTH: usize = 200;
/// Seconds of a core for an evaluation, in place of a count of steps.
const CORE_SECONDS: u64 = 2;
/// Memory for it, bytes.
const MEMORY: u64 = 512 << 20;
/// How long it may take in all on a busy core.
const PATIENCE: Duration = Duration::from_secs(10);
/// How often its end is looked for.
const LOOK: Duration = Duration::from_millis(2);

fn error(path: &Path, why: impl Into<String>) -> ConfigError {
    ConfigError { field: format!("operator file {}", path.display()), reason: why.into() }
}

/// The names in a source's imports, or why one is none that may be followed.
fn imports(source: &str) -> Result<Vec<String>, String> {
    let mut found = Vec::new();
    let mut rest = source;
    // The word before the place, where it asks for a file.
    let mut import = false;
    while let Some(first) = rest.chars().next() {
        let verbatim = rest.starts_with("@\"") || rest.starts_with("@'");
        if rest.starts_with("//") || first == '#' {
            rest = rest.find('\n').map_or("", |end| &rest[end..]);
        } else if rest.starts_with("/*") {
            rest = rest.find("*/").map_or("", |end| &rest[end + 2..]);
        } else if rest.starts_with("|||") {
            if import {
                return Err("an import by a block of text".to_owned());
            }
            // A block ends where a line begins with the mark, indented less than its text.
            let end = rest[3..].match_indices("|||").find(|(at, _)| {
                let line = rest[3..3 + at].rsplit('\n').next().unwrap_or_default();
                line.trim().is_empty()
            });
            rest = end.map_or("", |(at, _)| &rest[3 + at + 3..]);
        } else if verbatim || first == '"' || first == '\'' {
            let body = &rest[usize::from(verbatim) + 1..];
            let quote = if verbatim { rest[1..].chars().next().unwrap_or('"') } else { first };
            let Some(end) = closing(body, quote, verbatim) else {
                return Err("a text without end".to_owned());
            };
            if import {
                found.push(file_name(&body[..end])?);
            }
            import = false;
            rest = &body[end + 1..];
        } else if first.is_alphanumeric() || first == '_' {
            let end = rest.find(|c: char| !c.is_alphanumeric() && c != '_').unwrap_or(rest.len());
            import = matches!(&rest[..end], "import" | "importstr" | "importbin");
            rest = &rest[end..];
        } else {
            // What stands between an import and its name is white space; all else the parser refuses.
            import &= first.is_whitespace();
            rest = &rest[first.len_utf8()..];
        }
    }
    Ok(found)
}

/// Where a text ends.
fn closing(body: &str, quote: char, verbatim: bool) -> Option<usize> {
    let mut at = 0;
    while let Some(c) = body[at..].chars().next() {
        let next = at + c.len_utf8();
        if c == quote && verbatim && body[next..].starts_with(quote) {
            at = next + c.len_utf8();
        } else if c == quote {
            return Some(at);
        } else if c == '\\' && !verbatim {
            at = next + body[next..].chars().next().map_or(0, char::len_utf8);
        } else {
            at = next;
        }
    }
    None
}

/// A name in the same folder, as it stands.
fn file_name(text: &str) -> Result<String, String> {
    let plain = !text.is_empty() && !text.contains(['/', '\\', '\0', '"', '\'']) && !text.starts_with("..");
    if plain {
        Ok(text.to_owned())
    } else {
        Err(format!("import {text:?}: only files in its own folder, by their plain names"))
    }
}

/// Looks through a file and all that it imports, without evaluating any.
fn look_through(path: &Path) -> Result<(), ConfigError> {
    let folder = path.parent().unwrap_or(Path::new(""));
    let fault = |at: &Path, why: String| match at.file_name() {
        Some(name) if at != path => error(path, format!("{}: {why}", name.display())),
        _ => error(path, why),
    };
    let (mut seen, mut to_do, mut size) = (BTreeSet::new(), vec![path.to_owned()], 0);
    while let Some(next) = to_do.pop() {
        if !seen.insert(next.clone()) {
            continue;
        }
        if seen.len() > SOURCE.1 {
            return Err(error(path, format!("over {} files", SOURCE.1)));
        }
        // A link could lead out of the folder, and a pipe never end.
        let about = next.symlink_metadata().map_err(|e| fault(&next, e.to_string()))?;
        let plain = about.is_file() || (next == path && next.is_file());
        if !plain {
            return Err(fault(&next, "no plain file".to_owned()));
        }
        let mut source = String::new();
        let read = std::fs::File::open(&next).and_then(|f| f.take(SOURCE.0 + 1).read_to_string(&mut source));
        size += read.map_err(|e| fault(&next, e.to_string()))? as u64;
        if size > SOURCE.0 {
            return Err(error(path, format!("over {} bytes with what it imports", SOURCE.0)));
        }
        let names = imports(&source).map_err(|why| fault(&next, why))?;
        to_do.extend(names.into_iter().map(|name| folder.join(name)));
    }
    Ok(())
}

/// Evaluates an operator file to JSON, in this process; for one that was started for it and does
/// nothing else.
///
/// # Errors
/// What is wrong with the file, in one line.
pub fn evaluate(path: &Path) -> Result<String, ConfigError> {
    look_through(path)?;
    let state = EvaluationState::default();
    state.with_stdlib();
    state.set_max_stack(DEPTH);
    state.set_import_resolver(Box::new(FileImportResolver::default()));
    state.set_manifest_format(ManifestFormat::Json(0));
    let evaluated = state.evaluate_file_raw(path).and_then(|value| state.manifest(value));
    let json = evaluated.map_err(|e| {
        let told = state.stringify_err(&e);
        let lines: Vec<&str> = told.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
        error(path, lines[..lines.len().min(2)].join(" "))
    })?;
    if json.len() as u64 > RESULT {
        return Err(error(path, format!("evaluates to {} bytes, {RESULT} at most", json.len())));
    }
    Ok(json.to_string())
}

/// Bounds this process as an evaluation's. To be called before [`evaluate`], in a process of its own.
///
/// # Errors
/// The system's, where it refuses.
pub fn bound_this_process() -> std::io::Result<()> {
    let limit = |most| Rlimit { current: Some(most), maximum: Some(most) };
    setrlimit(Resource::Cpu, limit(CORE_SECONDS))?;
    setrlimit(Resource::As, limit(MEMORY))?;
    // A crash by design leaves nothing behind.
    setrlimit(Resource::Core, limit(0))?;
    Ok(())
}

/// Evaluates an operator file in a process of its own: `program evaluate FILE`, which is to call
/// [`bound_this_process`] and [`evaluate`].
///
/// # Errors
/// What is wrong with the file, or that it needs more than it may.
pub fn evaluate_apart(program: &Path, path: &Path) -> Result<String, ConfigError> {
    let mut command = Command::new(program);
    command.arg("evaluate").arg(path).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().map_err(|e| error(path, e.to_string()))?;
    let out = child.stdout.take().map(bounded);
    let told = child.stderr.take().map(bounded);
    let by = Instant::now() + PATIENCE;
    let ended = loop {
        match child.try_wait() {
            Ok(Some(status)) => break Some(status),
            Ok(None) if Instant::now() < by => std::thread::sleep(LOOK),
            Ok(None) | Err(_) => {
                // One that has ended meanwhile is none to kill.
                let _ = child.kill();
                let _ = child.wait();
                break None;
            }
        }
    };
    let text = |reader: Option<std::thread::JoinHandle<String>>| {
        reader.and_then(|reader| reader.join().ok()).unwrap_or_default()
    };
    let (out, told) = (text(out), text(told));
    let too_much = || {
        let why = format!("needs over {CORE_SECONDS} s of a core, {} MB or {DEPTH} calls", MEMORY >> 20);
        error(path, why)
    };
    match ended.and_then(|status| status.code()) {
        Some(0) => Ok(out),
        Some(2) => Err(error(path, told.lines().next().unwrap_or("can't be read"))),
        _ => Err(too_much()),
    }
}

/// What comes, up to a bound, read beside.
fn bounded(from: impl Read + Send + 'static) -> std::thread::JoinHandle<String> {
    std::thread::spawn(move || {
        let mut text = String::new();
        // What can't be read is as good as nothing.
        let _ = from.take(2 * RESULT).read_to_string(&mut text);
        text
    })
}

/// This program, also once its file has been replaced.
pub fn this_program() -> PathBuf {
    PathBuf::from("/proc/self/exe")
}

#[cfg(test)]
mod tests;
