//! The public interface of the policy: identifiers, settings, events, actions and status reports.
//!
//! These types carry data only; the decisions are made in [`crate::Scheduler`].

mod actions;
mod events;
mod ids;
mod settings;
mod status;

pub use actions::*;
pub use events::*;
pub use ids::*;
pub use settings::*;
pub use status::*;
