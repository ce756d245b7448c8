//! The regression as decisions: what an entry of the bench's journal says, which runs the present state of
//! the program owes, and which falls of a score are larger than chance. No I/O but [`State::read`]; no clock.

pub mod entry;
pub mod owed;
pub mod state;
pub mod table;

pub use entry::{Day, Entry, Torn};
pub use owed::{Owed, Run, Verdict, RUNS};
pub use state::State;
pub use table::{Fall, Row, Table};
