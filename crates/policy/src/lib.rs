//! The decision module of heathward, a host-side I/O scheduler for a shared disk pool.
//!
//! A host hands the [`Scheduler`] [`Event`]s with the current time; it answers with [`Action`]s. It does no
//! I/O, reads no clock, starts no thread, keeps no global state and depends on no runtime. All decisions are
//! in `scheduler.rs`; the types that cross its border are in `api.rs`. [`settings`] reads a deployment's.
//!
//! ```
//! use heathward_policy::*;
//!
//! let settings = Settings {
//!     schedulers: 1,
//!     mean_units: 2.0,
//!     max_units: 8,
//!     classes: vec![ClassSettings {
//!         latency_objective: 300_000,
//!         deadline: 2_000_000,
//!         priority_weight: 1.0,
//!         ..Default::default()
//!     }],
//!     plans: vec![PlanSettings {
//!         usual_rate: 10.0,
//!         reserved_rate: 10.0,
//!         shared_weight: 1.0,
//!         ..Default::default()
//!     }],
//!     ..Settings::default()
//! };
//! let mut scheduler = Scheduler::new(settings, 7).expect("sound settings");
//! let mut actions = Vec::new();
//! let entry = EndpointEntry {
//!     node: NodeId(1), shard: ShardId(0), zone: 0, state: NodeState::Ready, started_at: None,
//! };
//! let update = Event::EndpointUpdate { kind: EndpointUpdateKind::Cached, entries: vec![entry] };
//! scheduler.handle(1_000, update, &mut actions);
//! let request = Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     plan: PlanId(0),
//!     volume: VolumeId(9),
//!     units: 2,
//!     time_budget: 2_000_000,
//!     shard: Some(ShardId(0)),
//!     key: None,
//!     schedulers: 1,
//!     is_client_retry: false,
//!     is_streaming: false,
//! };
//! scheduler.handle(2_000, Event::RequestArrived(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { node: NodeId(1), .. })));
//! ```

mod api;
mod node_ranking;
mod node_table;
mod recency;
mod scheduler;
pub mod settings;
mod shard_index;
mod slow_start;
mod state;
mod volume_table;

pub use api::*;
pub use scheduler::Scheduler;
