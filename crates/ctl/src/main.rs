//! `heathwardctl`, the operators' one tool.
//!
//! Exit codes: 0 done, 1 refused by the scheduler or found wrong, 2 wrong use, 3 nobody answers. Of several
//! addresses the worst counts.

mod calls;
mod cli;
mod load;
mod outcome;
mod records;
mod report;
mod terminal;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};
use cli::{Arguments, Command, LoadCommand, RecordsCommand};

fn main() -> ExitCode {
    let outcome = match Arguments::parse().command {
        Command::Status(to) => calls::status(&to),
        Command::Metrics { to, json, watch } => calls::metrics(&to, json, watch),
        Command::Suspend { node, to } => {
            calls::command(&to, heathward_core::OperatorCommand::Suspend(node.into()))
        }
        Command::Restore { node, to } => {
            calls::command(&to, heathward_core::OperatorCommand::Restore(node.into()))
        }
        Command::Pause(to) => calls::command(&to, heathward_core::OperatorCommand::Pause),
        Command::Resume(to) => calls::command(&to, heathward_core::OperatorCommand::Resume),
        Command::Load(LoadCommand::List(source)) => load::list(&source),
        Command::Records(RecordsCommand::Verify { paths }) => records::verify(&paths),
        Command::Records(RecordsCommand::Show { paths }) => records::show(&paths),
        Command::Records(RecordsCommand::Export { paths, to }) => records::export(&paths, to.as_deref()),
        Command::Report(of) => report::run(&of),
        Command::Console(of) => terminal::run(&of),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "heathwardctl", &mut std::io::stdout());
            outcome::Outcome::Done
        }
    };
    outcome.into()
}
