//! Runs the console on a terminal: keys in, pictures out, records read and commands given.

use std::io;
use std::time::{Duration, Instant};

use crossterm::event::{self, Event, KeyCode, KeyEventKind};
use heathward_core::OperatorCommand;
use heathward_incident::{Fold, Incident, Window, SECOND};
use heathward_transport::admin::Request;
use heathwardctl::console::{draw, Effect, Key, Mode, View};
use heathwardctl::folds;
use heathwardctl::follow::Follower;

use crate::calls;
use crate::cli::ConsoleOf;
use crate::outcome::Outcome;

/// How often records are looked at.
const LOOK: Duration = Duration::from_secs(1);
/// How long the console waits for figures.
const ANSWER: Duration = Duration::from_millis(200);
/// How much of what is live is shown: a report has all of it.
const LIVE: u64 = 600 * SECOND;

/// Shows the console until it is quit.
pub fn run(of: &ConsoleOf) -> Outcome {
    match show(of) {
        Ok(()) => Outcome::Done,
        Err(error) => Outcome::wrong_use(error),
    }
}

/// Where what is shown comes from.
enum Source {
    Live(Follower),
    Recorded,
}

fn show(of: &ConsoleOf) -> io::Result<()> {
    let live = of.live || !of.to.is_empty();
    let (mut source, first) = if live {
        let mut follower = Follower::new(of.paths.clone());
        follower.look()?;
        let incident = latest(&follower);
        (Source::Live(follower), incident)
    } else {
        (Source::Recorded, Incident::of(&folds::read(&of.paths)?, Window::ALL))
    };
    let mode = if live { Mode::Live { addresses: of.to.len() } } else { Mode::Recorded };
    let mut view = View::new(first, mode);
    let colour = !of.no_color && std::env::var_os("NO_COLOR").is_none();
    let mut terminal = ratatui::try_init()?;
    let shown = serve(&mut terminal, &mut view, &mut source, of, colour);
    // The terminal is as it was, whatever happened.
    ratatui::restore();
    shown
}

fn serve(
    terminal: &mut ratatui::DefaultTerminal,
    view: &mut View,
    source: &mut Source,
    of: &ConsoleOf,
    colour: bool,
) -> io::Result<()> {
    let mut next = Instant::now() + LOOK;
    loop {
        terminal.draw(|frame| draw(frame, view, colour))?;
        if event::poll(next.saturating_duration_since(Instant::now()))? {
            let Some(key) = key(&event::read()?) else { continue };
            match view.key(key) {
                Some(Effect::Quit) => return Ok(()),
                Some(Effect::Command(command)) => view.say(give(of, command)),
                None => {}
            }
        }
        if Instant::now() >= next {
            next = Instant::now() + LOOK;
            if let Source::Live(follower) = source {
                follower.look()?;
                view.update(latest(follower));
                view.tell_figures(figures(of));
            }
        }
    }
}

/// The last minutes of what is being recorded.
fn latest(follower: &Follower) -> Incident {
    let last = follower.folds().map(Fold::last_wall).max().unwrap_or(0);
    // A clock that is ahead must not push the others out of sight.
    let window = Window { from: last.saturating_sub(LIVE), to: u64::MAX };
    Incident::of(follower.folds(), window)
}

/// What each second address says of requests and nodes at hand. One that does not answer at once is passed
/// over until the next look: keys must not wait for it.
fn figures(of: &ConsoleOf) -> String {
    let to = crate::cli::To { addresses: of.to.clone(), wait: ANSWER };
    let Ok(answers) = calls::block_on(calls::ask(&to, &Request::Metrics)) else { return String::new() };
    let told = answers.into_iter().map(|(at, answer)| {
        let Ok(lines) = answer else { return format!("{at}: no answer") };
        let figure = |name: &str| {
            let line = lines.iter().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
            line.unwrap_or("?").to_owned()
        };
        let (active, out, all) = (figure("app.active"), figure("app.pool_ejected"), figure("app.pool_size"));
        format!("{at}: {active} open, {out} of {all} nodes out")
    });
    told.collect::<Vec<_>>().join("  ")
}

/// Has a command carried out by all, and says how it went.
fn give(of: &ConsoleOf, command: OperatorCommand) -> String {
    let to = crate::cli::To { addresses: of.to.clone(), wait: of.wait };
    let answers = match calls::block_on(calls::ask(&to, &Request::Command(command))) {
        Ok(answers) => answers,
        Err(error) => return error.to_string(),
    };
    let wrong: Vec<String> =
        answers.iter().filter_map(|(at, a)| Some(format!("{at}: {}", a.as_ref().err()?))).collect();
    if wrong.is_empty() {
        format!("done at {} schedulers", answers.len())
    } else {
        wrong.join("; ")
    }
}

fn key(event: &Event) -> Option<Key> {
    let Event::Key(key) = event else { return None };
    if key.kind == KeyEventKind::Release {
        return None;
    }
    Some(match key.code {
        KeyCode::Char('c') if key.modifiers.contains(event::KeyModifiers::CONTROL) => Key::Letter('q'),
        KeyCode::Char(letter) => Key::Letter(letter),
        KeyCode::Up => Key::Up,
        KeyCode::Down => Key::Down,
        KeyCode::Left => Key::Left,
        KeyCode::Right => Key::Right,
        KeyCode::PageUp => Key::PageUp,
        KeyCode::PageDown => Key::PageDown,
        KeyCode::Home => Key::Home,
        KeyCode::End => Key::End,
        KeyCode::Esc => Key::Escape,
        _ => return None,
    })
}
