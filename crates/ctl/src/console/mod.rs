//! The console: the fleet as it stands, or as it stood at any moment of its records.
//!
//! [`View`] holds what is shown and what keys do, with no I/O; [`draw`] draws it on any backend of ratatui.

mod draw;
mod view;

pub use draw::draw;
pub use view::{Effect, Key, Mode, View};
