//! Stand-ins for clients, storage nodes, discovery and the platform, for the cases of the review.

pub mod config;
pub mod delay;
pub mod discovery;
pub mod http;
pub mod nvme;
pub mod platform;
pub mod record;

use std::net::{SocketAddr, TcpListener};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::process::exit;

use record::Record;

/// The result of a case that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Plays a case and ends the program: exit code 0 if the rule held, 1 if it was broken, 2 if the case could
/// not run. The first argument is a temporary folder, the second the folder of the record; the current
/// folder is the root of the repository.
pub fn play(case: fn(&Path, &Record) -> Result<Verdict, String>) -> ! {
    let mut folders = std::env::args_os().skip(1).map(PathBuf::from);
    let (Some(folder), Some(out)) = (folders.next(), folders.next()) else {
        eprintln!("takes a temporary folder and the folder of the record");
        exit(2);
    };
    let record = Record::create(&out.join("record.txt"));
    record.line(if trouble() { "with the disruption" } else { "without the disruption" });
    // A scheduler that the case has started is killed when the case ends, also by a panic.
    let result = catch_unwind(AssertUnwindSafe(|| case(&folder, &record)));
    let result = result.unwrap_or_else(|_| Err("a stand-in panicked".to_owned()));
    match &result {
        Ok(verdict) => record.line(format!("verdict: {verdict:?}")),
        Err(reason) => record.line(format!("could not run: {reason}")),
    }
    exit(match result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    })
}

/// Returns whether the disruption is played: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Opens a listener on a free loopback port.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Returns a loopback address whose port was free a moment ago.
pub fn free_address() -> SocketAddr {
    listen().1
}
