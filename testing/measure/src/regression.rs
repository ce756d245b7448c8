//! `heathward-measure regression [--run]`: which runs of the bench the present state of the program owes, and
//! with `--run` plays them in turn up to the first that fails.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::{fs, io};

use heathward_bench_journal::{owed, Owed, Run, State, Verdict};
use serde::Deserialize;

use crate::journal;

/// Where the bench is, from the repository's root.
const KIT: &str = "../given/kit";

/// What is needed of `deploy/balancer.toml`.
#[derive(Deserialize)]
struct Deploy {
    policy: Vec<String>,
    node: Vec<String>,
}

fn state() -> io::Result<State> {
    let text = fs::read_to_string("deploy/balancer.toml")?;
    let deploy: Deploy =
        toml::from_str(&text).map_err(|e| io::Error::other(format!("deploy/balancer.toml: {e}")))?;
    State::read(Path::new("."), &deploy.policy, &deploy.node)
}

fn stand() -> io::Result<(State, Vec<Owed>)> {
    let state = state()?;
    let (entries, torn) = journal::entries()?;
    torn.iter().for_each(|torn| eprintln!("{torn}"));
    let owed = owed::owed(&state, &entries);
    Ok((state, owed))
}

fn program(run: &Run) -> PathBuf {
    Path::new(KIT).join(run.program)
}

fn arguments(run: &Run) -> Vec<String> {
    let word = |word: &&str| if word.contains('/') { format!("{KIT}/{word}") } else { (*word).to_owned() };
    run.arguments.iter().map(word).collect()
}

/// What is typed for a run, from the repository's root.
fn line(run: &Run) -> String {
    format!("{} {}", program(run).display(), arguments(run).join(" "))
}

fn tell(owed: &Owed) {
    let name = owed.run.name;
    match &owed.verdict {
        Verdict::Kept { id, score } => {
            let score = score.map_or("without a score".to_owned(), |score| format!("{score:.3}"));
            println!("{name:<15} kept     {id}  {score}");
        }
        Verdict::Failed { id, why } => println!("{name:<15} FAILED   {id}  {why}"),
        Verdict::Missing => println!("{name:<15} missing  {} --why \"…\"", line(&owed.run)),
    }
}

/// Exit code 0 where nothing is owed, 1 where something is or failed, 2 without a bench.
pub fn run(play: bool, why: &str) -> ExitCode {
    match regress(play, why) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn regress(play: bool, why: &str) -> io::Result<u8> {
    let (state, owed) = stand()?;
    println!("the program as it stands: {}", state.version());
    owed.iter().for_each(tell);
    let due: Vec<Run> = owed.iter().filter(|owed| owed.is_due()).map(|owed| owed.run).collect();
    if !Path::new(KIT).is_dir() {
        eprintln!("there is no bench here: {KIT} does not exist");
        return Ok(2);
    }
    if !play {
        return Ok(u8::from(!due.is_empty()));
    }
    for run in due {
        println!("{}", line(&run));
        let status = Command::new(program(&run)).args(arguments(&run)).args(["--why", why]).status()?;
        let (_, owed) = stand()?;
        let Some(now) = owed.iter().find(|owed| owed.run == run) else { continue };
        tell(now);
        if now.is_due() {
            eprintln!("{} failed ({status}): mend that first", run.name);
            return Ok(1);
        }
    }
    Ok(0)
}
