//! What the console shows, and what keys do to it. No I/O and no clock.

use heathward_core::OperatorCommand;
use heathward_event_log::{Micros, NodeState};
use heathward_incident::{ClassCounts, Ending, Incident, NodeCounts, SpanSeen, SECOND};

/// A key, as far as the console has a use for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// A letter.
    Letter(char),
    /// The node above.
    Up,
    /// The node below.
    Down,
    /// A second back.
    Left,
    /// A second on.
    Right,
    /// Ten seconds back.
    PageUp,
    /// Ten seconds on.
    PageDown,
    /// To the first moment.
    Home,
    /// To the last.
    End,
    /// No to a question.
    Escape,
}

/// What a key asks of whoever runs the console.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// End it.
    Quit,
    /// Have that carried out by all schedulers.
    Command(OperatorCommand),
}

/// Whether records are still being written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They are; commands can be given where there are addresses.
    Live {
        /// Schedulers that take commands.
        addresses: usize,
    },
    /// They are not.
    Recorded,
}

/// A node at a moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeRow {
    /// Its id.
    pub name: String,
    /// How each scheduler treats it, in the order of [`View::schedulers`]; none where nothing is known.
    pub states: Vec<Option<NodeState>>,
    /// Its second.
    pub counts: NodeCounts,
}

/// A class at a moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassRow {
    /// Its name.
    pub name: String,
    /// Its second.
    pub counts: ClassCounts,
}

/// A scheduler at a moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchedulerRow {
    /// Its name.
    pub name: String,
    /// What is to be said of it.
    pub state: &'static str,
}

/// All that is shown.
#[derive(Debug)]
pub struct View {
    incident: Incident,
    mode: Mode,
    /// The moment that is shown; the last one, and those that come, while `None`.
    cursor: Option<Micros>,
    /// The node that commands are about.
    selected: usize,
    /// A command that waits for a yes.
    question: Option<OperatorCommand>,
    /// What the last command came to.
    message: String,
    /// What second addresses say, where they are asked.
    figures: String,
}

impl View {
    /// Of what is known by now.
    pub fn new(incident: Incident, mode: Mode) -> Self {
        Self {
            incident,
            mode,
            cursor: None,
            selected: 0,
            question: None,
            message: String::new(),
            figures: String::new(),
        }
    }

    /// More is known.
    pub fn update(&mut self, incident: Incident) {
        self.incident = incident;
        self.selected = self.selected.min(self.incident.nodes.len().saturating_sub(1));
    }

    /// What second addresses say by now; shown while there is nothing else to say.
    pub fn tell_figures(&mut self, figures: String) {
        self.figures = figures;
    }

    /// Says what a command came to.
    pub fn say(&mut self, message: String) {
        self.message = message;
    }

    /// What there is to say, or to answer.
    pub fn line(&self) -> String {
        match &self.question {
            Some(command) => {
                let Mode::Live { addresses } = self.mode else { return String::new() };
                let (verb, node) = match command {
                    OperatorCommand::Suspend(node) => ("Suspend", node),
                    OperatorCommand::Restore(node) => ("Restore", node),
                    OperatorCommand::Pause | OperatorCommand::Resume => return String::new(),
                };
                format!("{verb} {node} at {addresses} schedulers? y/n")
            }
            None if self.message.is_empty() => self.figures.clone(),
            None => self.message.clone(),
        }
    }

    /// All that is known.
    pub fn incident(&self) -> &Incident {
        &self.incident
    }

    /// Whether it is live.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Whether it stays at the last moment.
    pub fn follows(&self) -> bool {
        self.cursor.is_none()
    }

    /// The node that is selected.
    pub fn selected(&self) -> usize {
        self.selected
    }

    /// The moment that is shown: of one that is being recorded, the last whole second.
    pub fn moment(&self) -> Micros {
        let window = self.incident.window;
        let last = match self.mode {
            Mode::Live { .. } => window.to.saturating_sub(2 * SECOND),
            Mode::Recorded => window.to.saturating_sub(1),
        };
        self.cursor.unwrap_or(last).clamp(window.from, window.to.max(window.from))
    }

    /// Does what a key asks for.
    pub fn key(&mut self, key: Key) -> Option<Effect> {
        if let Some(command) = self.question.take() {
            let yes = key == Key::Letter('y');
            self.message = if yes { "…".to_owned() } else { "not done".to_owned() };
            return yes.then_some(Effect::Command(command));
        }
        self.message.clear();
        match key {
            Key::Letter('q') => return Some(Effect::Quit),
            Key::Letter('s') => self.ask(OperatorCommand::Suspend),
            Key::Letter('r') => self.ask(OperatorCommand::Restore),
            Key::Letter('n') => self.jump(true),
            Key::Letter('p') => self.jump(false),
            Key::Up => self.selected = self.selected.saturating_sub(1),
            Key::Down => {
                self.selected = (self.selected + 1).min(self.incident.nodes.len().saturating_sub(1));
            }
            Key::Left => self.step(-1),
            Key::Right => self.step(1),
            Key::PageUp => self.step(-10),
            Key::PageDown => self.step(10),
            Key::Home => self.cursor = Some(self.incident.window.from),
            Key::End => self.cursor = None,
            Key::Letter(_) | Key::Escape => {}
        }
        None
    }

    /// Commands are asked for first.
    fn ask(&mut self, command: impl Fn(Box<str>) -> OperatorCommand) {
        let node = self.incident.nodes.get(self.selected);
        match (self.mode, node) {
            (Mode::Live { addresses: 1.. }, Some(node)) => {
                self.question = Some(command(node.name.as_str().into()))
            }
            (Mode::Live { .. }, Some(_)) => self.message = "no second address was given (--at)".to_owned(),
            (Mode::Recorded, _) => self.message = "these are records: nothing can be ordered".to_owned(),
            (_, None) => {}
        }
    }

    fn step(&mut self, seconds: i64) {
        let to = self.moment().saturating_add_signed(seconds * SECOND as i64);
        let window = self.incident.window;
        self.cursor = if to >= window.to { None } else { Some(to.max(window.from)) };
    }

    /// To the beginning of the next finding, or of the one before.
    fn jump(&mut self, on: bool) {
        let now = self.moment();
        let mut times = self.incident.findings.iter().map(|finding| finding.at);
        let found = if on { times.find(|at| *at > now) } else { times.rfind(|at| *at < now) };
        self.cursor = found.or(self.cursor);
    }

    /// Names of the schedulers, in order.
    pub fn schedulers(&self) -> Vec<String> {
        let mut names: Vec<String> = self.incident.boots.iter().map(|boot| boot.scheduler.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Each scheduler at the moment.
    pub fn scheduler_rows(&self) -> Vec<SchedulerRow> {
        let now = self.moment();
        let rows = self.schedulers().into_iter().map(|name| {
            let of = || self.incident.boots.iter().filter(|boot| boot.scheduler == name);
            let begun = of().filter(|boot| boot.from <= now).max_by_key(|boot| boot.from);
            let state = match begun {
                None => "not yet",
                // A sign of life comes each second.
                Some(boot) if now <= boot.to + 2 * SECOND && boot.ending == Ending::Running => "runs",
                Some(boot) if now <= boot.to => "runs",
                Some(boot) if boot.ending == Ending::Planned => "ended",
                Some(_) => "NO WORD",
            };
            SchedulerRow { name, state }
        });
        rows.collect()
    }

    /// Each node at the moment.
    pub fn node_rows(&self) -> Vec<NodeRow> {
        let (now, names) = (self.moment(), self.schedulers());
        let rows = self.incident.nodes.iter().map(|table| {
            let state = |name: &String| {
                let lanes =
                    table.lanes.iter().filter(|lane| self.incident.boots[lane.boot].scheduler == *name);
                let spans = lanes.flat_map(|lane| &lane.spans);
                let there = |span: &&SpanSeen| span.from <= now && now <= span.to + 2 * SECOND;
                spans.filter(there).max_by_key(|span| span.from).map(|span| span.state)
            };
            let states = names.iter().map(state).collect();
            let counts = at(table.series.iter(), table.series.width(), now);
            NodeRow { name: table.name.clone(), states, counts }
        });
        rows.collect()
    }

    /// Each class at the moment.
    pub fn class_rows(&self) -> Vec<ClassRow> {
        let now = self.moment();
        let row = |table: &heathward_incident::ClassTable| {
            let counts = at(table.series.iter(), table.series.width(), now);
            ClassRow { name: table.name.clone(), counts }
        };
        self.incident.classes.iter().map(row).collect()
    }

    /// Sentences on what had begun by the moment, the last first.
    pub fn findings(&self) -> impl Iterator<Item = &str> {
        let now = self.moment();
        self.incident.findings.iter().rev().filter(move |f| f.at <= now).map(|f| f.text.as_str())
    }

    /// Whether something is missing of the moment.
    pub fn at_least(&self) -> bool {
        let now = self.moment();
        self.incident.at_least(now - now % SECOND, now - now % SECOND + SECOND)
    }
}

/// The bin in which a moment lies.
fn at<'a, T: Clone + Default + 'a>(
    mut bins: impl Iterator<Item = (Micros, &'a T)>,
    width: Micros,
    now: Micros,
) -> T {
    let found = bins.find(|(from, _)| (*from..from + width).contains(&now));
    found.map(|(_, counts)| counts.clone()).unwrap_or_default()
}
