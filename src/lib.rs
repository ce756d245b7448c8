//! heathward is a host-side I/O scheduler for a shared disk pool: its decisions, and the program round them.
//!
//! The decision module is [`Scheduler`]: a host hands it [`Event`]s with the current time; it answers with
//! [`Action`]s. It does no I/O, reads no clock, starts no thread and keeps no global state. All decisions
//! are in `src/choice.rs`; the types that cross its border are in `src/api.rs`.
//!
//! Round it, [`core`] drives the module for real requests, [`net`] has the wires, [`load`] reads recorded
//! requests, and [`settings`] reads what a deployment says.
//!
//! ```
//! use heathward::*;
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
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod api;
mod choice;
pub mod core;
pub mod load;
pub mod net;
pub mod settings;
mod state;

pub use api::*;
pub use choice::Scheduler;
