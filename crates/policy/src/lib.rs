//! The scheduling policy of heathward: decides which node a request is sent to and when, and whether it is
//! retried, shed or failed.
//!
//! The caller passes each [`Event`] with the current time to [`Scheduler::handle`], which appends the
//! [`Action`]s to perform. The policy does no I/O, reads no clock, starts no thread, has no global state and
//! depends on no async runtime, so that the same events always give the same actions.
//!
//! The types of this interface are in `api.rs`. [`settings`] reads a deployment's settings under their wire
//! names. Start reading at `scheduler.rs`; the state that it keeps is split by concern into `node`, `volume`,
//! `request`, `key_queues`, `retry_window` and `slow_start`.
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
//!         ..ClassSettings::default()
//!     }],
//!     plans: vec![PlanSettings {
//!         usual_rate: 10.0,
//!         reserved_rate: 10.0,
//!         shared_weight: 1.0,
//!         ..PlanSettings::default()
//!     }],
//!     ..Settings::default()
//! };
//! let mut scheduler = Scheduler::new(settings, 7).expect("valid settings");
//! let mut actions = Vec::new();
//! let entry = EndpointEntry {
//!     node: NodeId(1),
//!     shard: ShardId(0),
//!     zone: 0,
//!     state: NodeState::Ready,
//!     started_at: None,
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
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { node: NodeId(1), .. })));
//! ```

mod api;
mod endpoint_subscription;
mod key_queues;
mod local_answer_log;
mod node;
mod node_ranking;
mod node_table;
mod recency;
mod request;
mod retry_window;
mod scheduler;
pub mod settings;
mod shard_index;
mod slow_start;
mod volume;
mod volume_table;

pub use api::*;
pub use scheduler::Scheduler;
