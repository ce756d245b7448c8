//! What happens in one play, drawn from a seed. Times are in milliseconds.

use std::time::Duration;

use fastrand::Rng;
use heathward_fakes::NodeBehavior;
use serde::{Deserialize, Serialize};

/// Deadlines of the class that clients use.
const DEADLINES_MS: [u64; 6] = [100, 300, 1000, 1000, 3000, 10_000];
/// The deadline of the other class of the configuration.
pub const OTHER_DEADLINE_MS: u64 = 700;
/// The platform counts no longer deadline than this.
const MAX_COUNTED_DEADLINE_MS: u64 = 3000;
/// SIGKILL follows SIGTERM this much after the longest deadline.
const KILL_DELAY_MS: u64 = 700;
/// The platform holds a process for so long at most.
pub const MAX_STALL_MS: u64 = 150;
/// Further signals come this late at most.
const MAX_SIGNAL_GAP_MS: u64 = 400;
/// Clients that leave have waited for so long at most.
const MAX_WAIT_BEFORE_LEAVING_MS: u64 = 120;
/// A process that was held up in so much of the time before SIGKILL may be found by that.
const LATE_STALL_MS: u64 = 350;
/// Connections of a crowd.
const CROWD: u32 = 60;

/// What a node that is not well does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeFault {
    /// It answers.
    None,
    /// It never answers.
    Hangs,
    /// It closes each connection with the request read.
    Resets,
    /// It rejects each request.
    Rejects,
}

impl NodeFault {
    /// What a fake node does then.
    pub fn script(self) -> NodeBehavior {
        match self {
            Self::None => NodeBehavior::Serve,
            Self::Hangs => NodeBehavior::Silent,
            Self::Resets => NodeBehavior::Reset,
            Self::Rejects => NodeBehavior::Reject,
        }
    }
}

/// What SIGTERM crosses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Crossing {
    /// Nothing but requests.
    Requests,
    /// The first moments of the process.
    Start,
    /// A reload: SIGHUP comes just before.
    Reload,
}

/// A time over which the process is stopped, after the first SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stall {
    /// When it begins.
    pub from_ms: u64,
    /// How long it lasts.
    pub length_ms: u64,
}

/// A client that asks again as soon as it has its answer and has paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientPlan {
    /// Its pause after an answer.
    pub pause_ms: u64,
    /// The shard that it asks for: 0 is well, 1 has the fault.
    pub shard: i32,
    /// It leaves when it has waited for an answer for so long; without it, it waits for the answer.
    #[serde(default)]
    pub leaves_after_ms: Option<u64>,
    /// The class that it asks for.
    #[serde(default)]
    pub class: SoakClass,
}

/// A class of the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum SoakClass {
    /// A read, with the plan's deadline.
    #[default]
    Read,
    /// A keyed write, with [`OTHER_DEADLINE_MS`].
    KeyedWrite,
}

impl SoakClass {
    /// Its name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "consulta",
            Self::KeyedWrite => "pedido",
        }
    }

    /// Its deadline in a plan, and how long its clients wait.
    pub fn deadline_ms(self, plan: &Plan) -> u64 {
        match self {
            Self::Read => plan.deadline_ms,
            Self::KeyedWrite => OTHER_DEADLINE_MS,
        }
    }
}

/// What happens in one play.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Where it was drawn from.
    pub seed: u64,
    /// The deadline of the class that clients use, and what they ask for.
    pub deadline_ms: u64,
    /// What the second node does.
    pub fault: NodeFault,
    /// What SIGTERM crosses.
    pub crossing: Crossing,
    /// Each SIGTERM after the first one.
    pub further_signals_ms: Vec<u64>,
    /// The process is stopped before the first SIGTERM for so long; zero if not at all.
    pub stall_at_signal_ms: u64,
    /// Further stops, in order and apart from each other.
    pub stalls: Vec<Stall>,
    /// The clients.
    pub clients: Vec<ClientPlan>,
    /// When a crowd connects, with whole, half and empty requests in equal numbers.
    pub crowd_at_ms: Option<u64>,
}

impl Plan {
    /// The plan of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let deadline_ms = DEADLINES_MS[random.usize(..DEADLINES_MS.len())];
        let faults =
            [NodeFault::None, NodeFault::Hangs, NodeFault::Hangs, NodeFault::Resets, NodeFault::Rejects];
        let crossings = [Crossing::Requests, Crossing::Requests, Crossing::Start, Crossing::Reload];
        let mut plan = Self {
            seed,
            deadline_ms,
            fault: faults[random.usize(..faults.len())],
            crossing: crossings[random.usize(..crossings.len())],
            further_signals_ms: (0..random.usize(..5)).map(|_| random.u64(..=MAX_SIGNAL_GAP_MS)).collect(),
            stall_at_signal_ms: if random.bool() { random.u64(50..=MAX_STALL_MS) } else { 0 },
            stalls: Vec::new(),
            clients: Vec::new(),
            crowd_at_ms: None,
        };
        plan.stalls = draw_stalls(&mut random, plan.stall_at_signal_ms, plan.kill_ms());
        for number in 0..random.u32(4..16) {
            let pause_ms = if random.bool() { 0 } else { random.u64(1..60) };
            let shard = (number % 2) as i32;
            plan.clients.push(ClientPlan { pause_ms, shard, leaves_after_ms: None, class: SoakClass::Read });
        }
        if random.u32(..3) == 0 {
            plan.crowd_at_ms = Some(random.u64(..plan.kill_ms()));
        }
        // Drawn last, so that the rest of a plan is that of its seed as before.
        for client in &mut plan.clients {
            if random.u32(..3) == 0 {
                client.class = SoakClass::KeyedWrite;
            }
            if random.u32(..3) == 0 {
                client.leaves_after_ms = Some(random.u64(1..=MAX_WAIT_BEFORE_LEAVING_MS));
            }
        }
        plan
    }

    /// When the platform kills the process, after the first SIGTERM.
    pub fn kill_ms(&self) -> u64 {
        self.deadline_ms.clamp(OTHER_DEADLINE_MS, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS
    }

    /// The same as a duration.
    pub fn kill_after(&self) -> Duration {
        Duration::from_millis(self.kill_ms())
    }

    /// From when on a stop may explain that SIGKILL finds the process, after the first SIGTERM.
    pub fn late_stalls_from(&self) -> Duration {
        Duration::from_millis(self.kill_ms() - LATE_STALL_MS)
    }

    /// Whether a stop that the platform allows explains that SIGKILL finds the process.
    pub fn has_late_stall(&self) -> bool {
        let is_late = |stall: &Stall| stall.from_ms + LATE_STALL_MS > self.kill_ms();
        self.stalls.iter().any(|stall| stall.length_ms <= MAX_STALL_MS && is_late(stall))
    }

    /// How many connections a crowd has.
    pub fn crowd_size(&self) -> u32 {
        self.crowd_at_ms.map_or(0, |_| CROWD)
    }
}

/// At most two stops, the second one where the last answers are due, as that is the narrowest place.
fn draw_stalls(random: &mut Rng, first_from_ms: u64, kill_ms: u64) -> Vec<Stall> {
    let mut stalls = Vec::new();
    let last_from = kill_ms - 2 * MAX_STALL_MS - 100;
    if random.bool() {
        let from_ms = random.u64(first_from_ms + MAX_STALL_MS..last_from - MAX_STALL_MS);
        stalls.push(Stall { from_ms, length_ms: random.u64(20..=MAX_STALL_MS) });
    }
    if random.bool() {
        let length_ms = random.u64(50..=MAX_STALL_MS);
        stalls.push(Stall { from_ms: random.u64(last_from..=kill_ms - length_ms - 10), length_ms });
    }
    stalls
}
