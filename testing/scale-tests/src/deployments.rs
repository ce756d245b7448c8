//! Settings of two deployments in service, and of one at the planned size.

use heathward_policy::settings::{Deployment, JsonSource};
use heathward_policy::{ClassSettings, DeduplicationScope, Idempotency, PlanSettings, Settings};

use crate::node::NodeSettings;

const PREDIO_NORTE: &str = include_str!("../deployments/predio-norte.json");
const GRANITE_SHELF: &str = include_str!("../deployments/granite-shelf.json");

/// Schedulers of the fleet at the planned size.
pub const SCHEDULERS: u32 = 4_500;
/// Its storage nodes.
pub const NODES: u32 = 5_100;
/// Its statements a second.
pub const STATEMENTS: f64 = 4_500_000.0;
/// Statements a second for one node: 4.5 million over 5,100.
pub const STATEMENTS_PER_NODE: f64 = STATEMENTS / NODES as f64;
/// Statements a second through one scheduler.
pub const STATEMENTS_PER_SCHEDULER: f64 = STATEMENTS / SCHEDULERS as f64;
/// What a warm node can do over what it is asked for: a choice of ours, as the plan names none.
pub const HEADROOM: f64 = 1.25;
/// Units of a mean statement, as both deployments have them.
pub const MEAN_UNITS: f64 = 2.2;

/// A keyed class, no limits; cold nodes fall beyond four times what they can do.
pub fn predio_norte() -> Settings {
    read(PREDIO_NORTE)
}

/// A class that must never run twice, a limit; cold nodes fall beyond twice what they can do.
pub fn granite_shelf() -> Settings {
    read(GRANITE_SHELF)
}

fn read(text: &str) -> Settings {
    let value = miniserde::json::from_str(text).expect("a deployment's file is JSON");
    Deployment::read(&JsonSource(&value)).expect("a deployment's file is sound").settings
}

/// The planned size by arithmetic. A warm node does [`HEADROOM`] times its 882 statements a second, 2.2 units
/// each: 2,426 units a second. The slow start has the shares and times of the first deployment: a node starts
/// at 0.24 of that and is warm after 18 s, so it bears 0.24 x 2,426 x 2 s = 1,165 units within the window as
/// it starts, and falls beyond four times as much. Most requests are reads that may be repeated, one in ten
/// writes. A volume's plan gives it more than it asks for, so that plans cut nothing.
pub fn planned_size() -> Settings {
    let base = predio_norte();
    let seconds = base.overload_window as f64 / 1e6;
    let class = ClassSettings {
        latency_objective: 150_000,
        deadline: 1_000_000,
        priority_weight: 2.0,
        late_weight_fraction: 0.2,
        ..ClassSettings::default()
    };
    let write = ClassSettings {
        priority_weight: 3.0,
        idempotency: Idempotency::WithKey,
        deduplication_scope: DeduplicationScope::Shard,
        deduplication_window: 2_500_000,
        ..class
    };
    Settings {
        classes: vec![class, write],
        plans: vec![PlanSettings {
            usual_rate: 110.0,
            reserved_rate: 110.0,
            shared_weight: 1.0,
            priority_factor: 1.0,
            ..PlanSettings::default()
        }],
        mean_units: MEAN_UNITS,
        slow_start_units: base.slow_start_fraction * node_ability() * seconds,
        ..base
    }
}

/// Units a second of a warm node at the planned size.
pub fn node_ability() -> f64 {
    HEADROOM * STATEMENTS_PER_NODE * MEAN_UNITS
}

/// A node that does what the settings say at the least: what it bears as it starts, over its share then. Its
/// queue holds what it can serve within the longest aim, 16 requests at the least.
pub fn node_of(settings: &Settings) -> NodeSettings {
    let ability = settings.slow_start_units
        / settings.slow_start_fraction.max(0.01)
        / (settings.overload_window as f64 / 1e6);
    let longest =
        settings.classes.iter().map(|class| class.latency_objective).max().unwrap_or_default() as f64 / 1e6;
    let queue = (ability * longest / settings.mean_units).ceil().max(16.0) as usize;
    NodeSettings { ability, queue, falls: false }
}
