//! A hollow storage node: ability, queue, slow start, and the rule on what it may be sent while it is cold.

use std::collections::{BTreeMap, VecDeque};

use heathward_policy::{Micros, Settings};

/// What a node can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeSettings {
    /// Units a second, warm.
    pub ability: f64,
    /// Requests that it holds at most; one more is turned away unseen.
    pub queue: usize,
    /// Whether it falls over when it is sent more than the rule on cold nodes allows.
    pub falls: bool,
}

/// The slow start of a node as the settings tell it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of the ability at the start.
    pub share: f64,
    /// Until it is warm.
    pub time: Micros,
    /// Window of the rule.
    pub window: Micros,
    /// Requests of mean work that a node bears within the window as it starts.
    pub bears: f64,
    /// Multiple of what it bears then that pushes it over.
    pub multiple: f64,
    /// Units of a request of mean work.
    pub mean_units: f64,
}

impl SlowStart {
    /// The part of the settings that concerns it.
    pub fn new(settings: &Settings) -> Self {
        Self {
            share: settings.slow_start_fraction.clamp(0.01, 1.0),
            time: settings.slow_start_duration,
            window: settings.overload_window.max(1),
            bears: settings.slow_start_units / settings.mean_units,
            multiple: settings.overload_multiple.max(1.0),
            mean_units: settings.mean_units,
        }
    }

    /// Share of the whole ability at that age.
    pub fn grown(&self, age: Micros) -> f64 {
        let grown = (age as f64 / self.time.max(1) as f64).min(1.0);
        self.share + (1.0 - self.share) * grown
    }

    /// Requests of mean work within the window that the settings allow at that age: N.
    pub fn allowed(&self, age: Micros) -> f64 {
        self.multiple * self.bears * self.grown(age) / self.share
    }

    /// Requests beyond which a node of that age falls: N + 2 x root of N + 2.
    pub fn bound(&self, age: Micros) -> f64 {
        let allowed = self.allowed(age);
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// How a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It serves.
    Up,
    /// It takes no connection.
    Closed,
    /// It answers nothing.
    Silent,
}

/// What a node says to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It will have been served then.
    ServedAt(Micros),
    /// The queue is full.
    Full,
    /// No connection.
    NotConnected,
    /// Nothing will come.
    Silent,
}

/// What one node was sent while it was cold, over all its starts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdLoad {
    /// The most in a window over the bound then, and the age at which that was. All senders count.
    pub worst: (f64, Micros),
    /// The same over windows of which over two thirds came from schedulers that knew of the start.
    pub worst_told: (f64, Micros),
    /// Requests on whose arrival the bound was passed.
    pub passed: u64,
    /// The same by `worst_told`'s count.
    pub passed_told: u64,
    /// Times that it fell over.
    pub falls: u32,
}

/// Requests of one window length since a start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdWindow {
    /// Requests of mean work that clients asked of it.
    pub asked: f64,
    /// That it was sent.
    pub sent: f64,
    /// That it served.
    pub served: f64,
    /// That the settings allow it in the middle of the window: N.
    pub allowed: f64,
}

/// One node.
#[derive(Clone, Debug)]
pub struct HollowNode<W> {
    settings: NodeSettings,
    slow_start: SlowStart,
    health: Health,
    /// Its last cold start.
    started: Option<Micros>,
    free_at: Micros,
    working: BTreeMap<u64, (W, f64)>,
    accepted: u64,
    recent: VecDeque<(Micros, f64, bool)>,
    recent_work: f64,
    recent_told: f64,
    load: ColdLoad,
    windows: Vec<ColdWindow>,
    served: u64,
}

impl<W: Clone> HollowNode<W> {
    /// A warm one that is up.
    pub fn new(settings: NodeSettings, slow_start: SlowStart) -> Self {
        Self {
            settings,
            slow_start,
            health: Health::Up,
            started: None,
            free_at: 0,
            working: BTreeMap::new(),
            accepted: 0,
            recent: VecDeque::new(),
            recent_work: 0.0,
            recent_told: 0.0,
            load: ColdLoad::default(),
            windows: Vec::new(),
            served: 0,
        }
    }

    /// Begins a cold start; what it worked at is lost and given back.
    pub fn start_cold(&mut self, now: Micros) -> Vec<W> {
        (self.health, self.started, self.free_at) = (Health::Up, Some(now), now);
        self.recent.clear();
        self.windows.clear();
        (self.recent_work, self.recent_told) = (0.0, 0.0);
        self.drop_work()
    }

    /// Goes out of service; what it worked at is lost and given back.
    pub fn stop(&mut self, health: Health) -> Vec<W> {
        self.health = health;
        self.drop_work()
    }

    fn drop_work(&mut self) -> Vec<W> {
        std::mem::take(&mut self.working).into_values().map(|(work, _)| work).collect()
    }

    /// How it stands.
    pub fn health(&self) -> Health {
        self.health
    }

    /// When it last began cold.
    pub fn started(&self) -> Option<Micros> {
        self.started
    }

    /// What it was sent while cold.
    pub fn load(&self) -> ColdLoad {
        self.load
    }

    /// Windows since the last cold start, one after another.
    pub fn windows(&self) -> &[ColdWindow] {
        &self.windows
    }

    /// Requests that it has served.
    pub fn served(&self) -> u64 {
        self.served
    }

    fn age(&self, now: Micros) -> Option<Micros> {
        self.started.map(|at| now.saturating_sub(at)).filter(|age| *age < self.slow_start.time)
    }

    /// Clients ask for it at some scheduler.
    pub fn asked(&mut self, now: Micros, units: u32) {
        let requests = f64::from(units) / self.slow_start.mean_units;
        if let Some(window) = self.window(now) {
            window.asked += requests;
        }
    }

    fn window(&mut self, now: Micros) -> Option<&mut ColdWindow> {
        let (age, slow) = (self.age(now)?, self.slow_start);
        let place = (age / slow.window) as usize;
        while self.windows.len() <= place {
            let middle = self.windows.len() as Micros * slow.window + slow.window / 2;
            self.windows.push(ColdWindow { allowed: slow.allowed(middle), ..ColdWindow::default() });
        }
        self.windows.get_mut(place)
    }

    /// A request reaches it; `told` says whether its scheduler knew of the node's last start. The number is
    /// for [`HollowNode::finish`].
    pub fn arrive(&mut self, now: Micros, work: W, units: u32, told: bool) -> (Admission, u64) {
        self.accepted += 1;
        if self.health == Health::Up {
            self.count_cold(now, f64::from(units) / self.slow_start.mean_units, told);
        }
        match self.health {
            Health::Closed => return (Admission::NotConnected, self.accepted),
            Health::Silent => return (Admission::Silent, self.accepted),
            Health::Up if self.working.len() >= self.settings.queue => {
                return (Admission::Full, self.accepted)
            }
            Health::Up => {}
        }
        let begins = self.free_at.max(now);
        let grown = self.age(begins).map_or(1.0, |age| self.slow_start.grown(age));
        let spent = f64::from(units) / (self.settings.ability * grown) * 1e6;
        self.free_at = begins + (spent as Micros).max(1);
        self.working.insert(self.accepted, (work, f64::from(units) / self.slow_start.mean_units));
        (Admission::ServedAt(self.free_at), self.accepted)
    }

    /// The work of that number is done; `None` where it was lost before.
    pub fn finish(&mut self, now: Micros, number: u64) -> Option<W> {
        let (work, requests) = self.working.remove(&number)?;
        self.served += 1;
        if let Some(window) = self.window(now) {
            window.served += requests;
        }
        Some(work)
    }

    /// Counts a request against the rule on cold nodes.
    fn count_cold(&mut self, now: Micros, requests: f64, told: bool) {
        let Some(age) = self.age(now) else { return };
        if let Some(window) = self.window(now) {
            window.sent += requests;
        }
        let window = self.slow_start.window;
        while let Some((_, left, knew)) = self.recent.front().copied().filter(|(at, ..)| at + window <= now) {
            self.recent.pop_front();
            self.recent_work -= left;
            self.recent_told -= if knew { left } else { 0.0 };
        }
        self.recent.push_back((now, requests, told));
        self.recent_work += requests;
        self.recent_told += if told { requests } else { 0.0 };
        let over = self.recent_work / self.slow_start.bound(age);
        if over > self.load.worst.0 {
            self.load.worst = (over, age);
        }
        self.load.passed += u64::from(over > 1.0);
        if self.recent_told > self.recent_work * 2.0 / 3.0 {
            if over > self.load.worst_told.0 {
                self.load.worst_told = (over, age);
            }
            self.load.passed_told += u64::from(over > 1.0);
        }
        if over > 1.0 && self.settings.falls {
            self.load.falls += 1;
            self.health = Health::Closed;
        }
    }
}
