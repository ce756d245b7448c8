//! Calls at second addresses, all at once, a line or a list for each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use heathward_core::OperatorCommand;
use heathward_transport::admin::{call, CallError, Request};
use miniserde::json;
use tokio::time::{sleep_until, Instant};

use crate::cli::To;
use crate::outcome::Outcome;

/// What each address answered, in the order of the addresses.
pub type Answers = Vec<(SocketAddr, Result<Vec<String>, CallError>)>;

/// Asks all addresses at once.
pub async fn ask(to: &To, request: &Request) -> Answers {
    let deadline = Instant::now() + to.wait;
    let asked = to.addresses.iter().map(|at| async move { (*at, call(*at, request, deadline).await) });
    join_all(asked).await
}

impl From<&CallError> for Outcome {
    fn from(error: &CallError) -> Self {
        match error {
            CallError::Rejected(_) => Self::Refused,
            CallError::Connection(_) | CallError::TimedOut | CallError::NoReply | CallError::Malformed => {
                Self::Unanswered
            }
        }
    }
}

/// Prints each address's answer as `show` has it, and gives back the worst outcome.
fn tell(answers: Answers, show: impl Fn(SocketAddr, Vec<String>)) -> Outcome {
    let told = answers.into_iter().map(|(at, answer)| match answer {
        Ok(lines) => {
            show(at, lines);
            Outcome::Done
        }
        Err(error) => {
            eprintln!("{at}: {error}");
            Outcome::from(&error)
        }
    });
    told.max().unwrap_or(Outcome::Done)
}

/// One thread is enough for a few calls.
pub fn block_on<T>(work: impl std::future::Future<Output = T>) -> std::io::Result<T> {
    Ok(tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work))
}

fn run(work: impl std::future::Future<Output = Outcome>) -> Outcome {
    block_on(work).unwrap_or_else(Outcome::wrong_use)
}

/// Whether each scheduler can serve.
pub fn status(to: &To) -> Outcome {
    run(async { tell(ask(to, &Request::Status).await, |at, _| println!("{at}: serves")) })
}

/// Has a command carried out by each scheduler.
pub fn command(to: &To, command: OperatorCommand) -> Outcome {
    run(async { tell(ask(to, &Request::Command(command)).await, |at, _| println!("{at}: done")) })
}

/// Each scheduler's figures, once or again and again.
pub fn metrics(to: &To, json: bool, watch: Option<Duration>) -> Outcome {
    let show = |at: SocketAddr, lines: Vec<String>| {
        if json {
            println!("{}", as_json(at, &lines));
            return;
        }
        println!("{at}:");
        lines.iter().for_each(|line| println!("  {line}"));
    };
    run(async {
        loop {
            let began = Instant::now();
            let outcome = tell(ask(to, &Request::Metrics).await, show);
            let Some(every) = watch else { return outcome };
            sleep_until(began + every).await;
        }
    })
}

/// `{"at":…,"figures":{name:number,…}}`; a line that is no figure is left out.
fn as_json(at: SocketAddr, lines: &[String]) -> String {
    let figure = |line: &String| {
        let (name, value) = line.split_once('=')?;
        Some((name.to_owned(), value.parse::<u64>().ok()?))
    };
    let figures: BTreeMap<String, u64> = lines.iter().filter_map(figure).collect();
    format!("{{\"at\":{},\"figures\":{}}}", json::to_string(&at.to_string()), json::to_string(&figures))
}
