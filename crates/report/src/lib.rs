//! An [`Incident`](heathward_incident::Incident) as people and programs read it: one self-contained HTML file
//! without scripts, or the same tables as JSON and CSV. No I/O and no clock.

mod charts;
mod html;
mod tables;

pub use html::html;
pub use tables::{Tables, FILES};
