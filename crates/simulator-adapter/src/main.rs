//! Hosts many schedulers on the simulator's wire: decode, dispatch to the instance, encode. Decides nothing.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use heathward_policy::{Action, Scheduler};
use wire::{Fault, Message, Names, Reader};

/// One simulated host: its scheduler and the names it was told.
struct Instance {
    scheduler: Scheduler,
    names: Names,
}

fn run(input: impl BufRead, output: impl Write) -> Result<(), Fault> {
    let mut reader = Reader::new(input);
    let mut output = BufWriter::new(output);
    let mut instances: BTreeMap<u32, Instance> = BTreeMap::new();
    let mut actions: Vec<Action> = Vec::new();
    let mut text = String::new();
    while let Some(now) = reader.open_batch()? {
        while let Some((who, message)) = reader.next(&mut instances)? {
            match message {
                Message::Start { scheduler, names } => {
                    instances.insert(who, Instance { scheduler: *scheduler, names });
                }
                Message::Kill => {
                    instances.remove(&who);
                }
                Message::Event(event) => {
                    let Some(instance) = instances.get_mut(&who) else { continue };
                    instance.scheduler.handle(now, event, &mut actions);
                    for action in actions.drain(..) {
                        wire::encode(&mut text, who, &action, &instance.names);
                    }
                }
                Message::Unused => {}
            }
        }
        text.push_str("EOR\n");
        let sent = output.write_all(text.as_bytes()).and_then(|()| output.flush());
        sent.map_err(|e| reader.fault("reply", &e.to_string()))?;
        text.clear();
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("heathward-drill: {fault}");
            ExitCode::from(2)
        }
    }
}
