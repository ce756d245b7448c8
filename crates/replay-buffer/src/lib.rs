//! Which bodies are kept for further attempts, where, and which make way: decisions and their state,
//! without I/O and without a clock. Design: `docs/design-kept-bodies.md`.
//!
//! [`Keeper`] books each body that is coming ([`Keeper::begin`], [`Keeper::grow`], [`Keeper::end`]) and says
//! where its bytes go; [`RetryBudget`] says how many further attempts a plan has earned.

mod keeper;
mod retries;

pub use keeper::{Ask, BodyId, Budget, Decision, Disk, Keeper, Limits, Place, Reason};
pub use retries::RetryBudget;
