//! What the series of costs must keep, in either form.

use crate::bounds::{self, Bound, Bounds};

/// What is alike but for the digits of numbers.
const ALIKE: f64 = 1.02;
/// Sizes that growth is counted from.
const FEW_NODES: f64 = 100.0;
const FEW_VOLUMES: f64 = 100.0;
/// Seconds: nine in ten restarted schedulers are to be ready within this.
const READY: f64 = 10.0;
/// Seconds: a change of configuration is to be in force everywhere within this.
const IN_FORCE: f64 = 14.0;
/// A line of the list that a scheduler takes, bytes.
const LINE: f64 = 4.0 * 1024.0 * 1024.0;
/// Calls a second that one server of the model bears at 54 ms a call, with a fifth more for chance; twice as
/// many where a call may fail and come again.
const CALLS: f64 = 1.2 / 0.054;
/// Of N, what cold nodes are to get where that much is asked.
const HALF: f64 = 0.5;
/// Times the least that the ramp allows, within which a fleet that starts cold is to serve again.
const SERVES_AGAIN: f64 = 1.3;
/// Half of what N allows one of 4,500 schedulers in the first five seconds with the first deployment's
/// settings: 84 units in 2 s, 2.2 a request, 5,100 / 4,500 nodes, and 7.2 s of that for 5 s of growing.
const HALF_OF_N_FIRST: f64 = 77.9;
/// The same at the planned size, where N allows more than the 5,000 that are asked.
const HALF_OF_N_PLANNED: f64 = 2_500.0;

const NONE_OVER_BOUND: Bound = Bound::Limit(1.0);
const USED: Bound = Bound::AtLeast(HALF);
const RETURNS: Bound = Bound::Limit(SERVES_AGAIN);

/// What the series of costs must keep.
pub const BOUNDS: &Bounds = &[
    ("decision-pinned-warm", bounds::ARRIVAL),
    ("decision-free-warm", bounds::ARRIVAL),
    ("decision-pinned-cold", bounds::ARRIVAL),
    ("decision-free-cold", bounds::ARRIVAL),
    ("request-pinned-warm", bounds::ARRIVAL),
    ("request-free-warm", bounds::ARRIVAL),
    ("request-pinned-cold", bounds::ARRIVAL),
    ("request-free-cold", bounds::ARRIVAL),
    ("list-one-change", bounds::CHANGE),
    ("list-whole", Bound::PerUnit { from: FEW_NODES, at_most: bounds::CHANGE_GROWTH }),
    ("kept-nodes-listed", Bound::PerUnit { from: FEW_NODES, at_most: ALIKE }),
    ("kept-nodes-asked", Bound::PerUnit { from: FEW_NODES, at_most: ALIKE }),
    ("kept-volumes", Bound::PerUnit { from: FEW_VOLUMES, at_most: ALIKE }),
    ("list-whole-bytes", Bound::PerUnit { from: FEW_NODES, at_most: ALIKE }),
    ("list-whole-bytes", Bound::Budget(LINE)),
    ("list-1-servers-start-busiest", Bound::Limit(CALLS)),
    ("list-6-servers-start-busiest", Bound::Limit(6.0 * CALLS)),
    ("list-1-servers-return-busiest", Bound::Limit(2.0 * CALLS)),
    ("list-6-servers-return-busiest", Bound::Limit(12.0 * CALLS)),
    ("list-1-servers-start-time", Bound::Budget(READY)),
    ("list-6-servers-start-time", Bound::Budget(READY)),
    ("list-1-servers-return-time", Bound::Budget(IN_FORCE)),
    ("list-6-servers-return-time", Bound::Budget(IN_FORCE)),
    ("list-1-servers-start-bytes", Bound::Budget(LINE)),
    ("list-6-servers-start-bytes", Bound::Budget(LINE)),
    ("list-1-servers-return-bytes", Bound::Budget(LINE)),
    ("list-6-servers-return-bytes", Bound::Budget(LINE)),
    ("list-1-servers-steady-bytes", Bound::Budget(bounds::CONTROL_BYTES_PER_SECOND)),
    ("list-6-servers-steady-bytes", Bound::Budget(bounds::CONTROL_BYTES_PER_SECOND)),
    ("list-1-servers-steady-lines", LINES),
    ("list-6-servers-steady-lines", LINES),
    ("list-1-servers-failed-calls", FAILED),
    ("list-6-servers-failed-calls", FAILED),
    ("cold-norte-over-bound", NONE_OVER_BOUND),
    ("cold-granite-over-bound", NONE_OVER_BOUND),
    ("cold-planned-over-bound", NONE_OVER_BOUND),
    ("cold-norte-sent-of-allowed", USED),
    ("cold-granite-sent-of-allowed", USED),
    ("cold-planned-sent-of-allowed", USED),
    ("cold-norte-served-of-ability", USED),
    ("cold-granite-served-of-ability", USED),
    ("cold-planned-served-of-ability", USED),
    ("cold-norte-serves-again", SECONDS),
    ("cold-granite-serves-again", Bound::Limit(14.0)),
    ("cold-planned-serves-again", SECONDS),
    ("cold-norte-times-the-least", RETURNS),
    ("cold-granite-times-the-least", RETURNS),
    ("cold-planned-times-the-least", RETURNS),
    ("cold-norte-first-five-seconds", EARLY),
    ("cold-granite-first-five-seconds", EARLY_GRANITE),
    ("cold-planned-first-five-seconds", EARLY),
    ("cold-norte-sent-of-5000-at-5100-nodes", Bound::AtLeast(HALF_OF_N_FIRST)),
    ("cold-planned-sent-of-5000-at-5100-nodes", Bound::AtLeast(HALF_OF_N_PLANNED)),
];

/// One line for each scheduler and change: one in 6.2 s for each of 4,500 at the most.
const LINES: Bound = Bound::Limit(4_500.0 * 14_000.0 / 86_400.0 * ALIKE);
/// Calls of all schedulers in an outage of a minute: no more than the service would bear.
const FAILED: Bound = Bound::Limit(60.0 * CALLS);
/// Seconds in which all nodes become warm: 18 by the settings of the first deployment, 14 of the second.
const SECONDS: Bound = Bound::Limit(18.0);
/// Served of all requests from the first second on: a node can do its share of 0.24 as it starts, at a load
/// of 0.8, and is to do half of that.
const EARLY: Bound = Bound::AtLeast(HALF * 0.24 / 0.8);
/// The same where the share is 0.16.
const EARLY_GRANITE: Bound = Bound::AtLeast(HALF * 0.16 / 0.8);
