//! The decision module of heathward, a host-side I/O scheduler for a shared disk pool.
//!
//! A host hands the [`Scheduler`] [`Event`]s with the current time; it answers with [`Action`]s. It does no
//! I/O, reads no clock, starts no thread, keeps no global state and depends on no runtime. All decisions are
//! in `choice.rs`; the types that cross its border are in `api.rs`. [`settings`] reads a deployment's.
//!
//! ```
//! use heathward_policy::*;
//!
//! let settings = Settings {
//!     hosts: 1,
//!     mean_units: 2.0,
//!     most_units: 8,
//!     classes: vec![ClassSettings { aim: 300_000, deadline: 2_000_000, worth: 1.0, ..Default::default() }],
//!     plans: vec![PlanSettings { rate: 10.0, reserve: 10.0, weight: 1.0, ..Default::default() }],
//!     ..Settings::default()
//! };
//! let mut scheduler = Scheduler::new(settings, 7).expect("sound settings");
//! let mut actions = Vec::new();
//! let entry = ListEntry {
//!     node: NodeId(1), shard: ShardId(0), zone: 0, state: NodeState::Ready, started: None,
//! };
//! scheduler.handle(1_000, Event::List { kind: ListKind::Saved, entries: vec![entry] }, &mut actions);
//! let request = Request {
//!     id: RequestId(1), class: ClassId(0), plan: PlanId(0), volume: VolumeId(9), units: 2, left: 2_000_000,
//!     shard: Some(ShardId(0)), key: None, hosts: 1, repeat: false, passes: false,
//! };
//! scheduler.handle(2_000, Event::Arrival(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { node: NodeId(1), .. })));
//! ```

mod api;
mod asked;
mod choice;
mod cold;
mod nodes;
mod ranking;
mod recency;
pub mod settings;
mod shards;
mod slow_start;
mod state;
mod volumes;

pub use api::*;
pub use choice::Scheduler;
