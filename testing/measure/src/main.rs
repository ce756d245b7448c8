//! `heathward-measure NAME`: prints `measure WHAT VALUE UNIT want OP BOUND` for each figure; exit code 1
//! when one falls short. The programs are looked for beside this one. `journal` and `regression` read the
//! bench's journal, from the repository's root.

mod capacity;
mod coldstart;
mod experiment;
mod fleet;
mod journal;
mod memory_soak;
mod regression;
mod report;
mod slowstart;
mod soak;

use std::path::PathBuf;
use std::process::ExitCode;

/// Which way a bound holds.
#[derive(Clone, Copy)]
enum Want {
    AtMost(f64),
    AtLeast(f64),
    Exactly(f64),
}

/// Whether all figures so far keep their bounds.
struct Figures(bool);

impl Figures {
    fn tell(&mut self, what: &str, value: f64, unit: &str, want: Want) {
        let (kept, op, bound) = match want {
            Want::AtMost(bound) => (value <= bound, "<=", bound),
            Want::AtLeast(bound) => (value >= bound, ">=", bound),
            Want::Exactly(bound) => (value == bound, "==", bound),
        };
        println!("measure {what} {value:.3} {unit} want {op} {bound}");
        self.0 &= kept;
    }
}

/// A program of this build.
fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name(name)
}

/// The exit code of a measurement: 0 if all was kept, 1 if not, 2 after an error.
fn exit_code<E: std::fmt::Display>(result: Result<bool, E>) -> ExitCode {
    match result {
        Ok(kept) => ExitCode::from(u8::from(!kept)),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn main() -> ExitCode {
    let mut figures = Figures(true);
    let rest: Vec<String> = std::env::args().skip(2).collect();
    match std::env::args().nth(1).as_deref() {
        Some("experiment") => {
            let words = std::env::args().skip(1).collect();
            return exit_code(experiment::run(words));
        }
        Some("journal") => {
            let folder = rest.first().map_or("docs", String::as_str);
            if let Err(error) = journal::run(folder.as_ref()) {
                eprintln!("{error}");
                return ExitCode::from(2);
            }
        }
        Some("regression") => {
            let play = rest.first().is_some_and(|word| word == "--run");
            return regression::run(
                play,
                rest.get(1).map_or("The runs that this state owes", String::as_str),
            );
        }
        Some("soak") => return exit_code(soak::run(&rest)),
        Some("memory-soak") => return exit_code(memory_soak::run(&rest)),
        Some("report") => report::run(&mut figures),
        Some("coldstart") => coldstart::run(&mut figures),
        Some("slowstart") => slowstart::run(&rest, &mut figures),
        Some("fleet") => fleet::run(&mut figures),
        Some("capacity") => {
            if let Err(error) = capacity::run(&rest, &mut figures) {
                eprintln!("{error}");
                return ExitCode::from(2);
            }
        }
        _ => {
            eprintln!(
                "usage: heathward-measure report|fleet|coldstart|slowstart [SCHEDULERS]|\
                 capacity [--short] [FOLDER]|\
                 experiment SCENARIO|journal [FOLDER]|\
                 regression [--run [WHY]]|soak FIRST COUNT|soak FILE|memory-soak FIRST COUNT"
            );
            return ExitCode::from(2);
        }
    }
    if figures.0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
