//! What the auditor prints of each rule that is broken, byte for byte: `fixtures/verdict.txt`.
#![cfg(test)]

use std::fmt::Write;

use heathward_fault_injection::audit::{judge, Arrived, Cold, Entry, RateLimit, Rules, Span};

const MS: u64 = 1000;

fn rules() -> Rules {
    let cold = Cold { units: 20.0, share: 0.24, time: 6_000 * MS, fall: 500 * MS, multiple: 1.5 };
    Rules {
        slack: 50 * MS,
        shutdown_time: 1_700 * MS,
        grace: 250 * MS,
        window: 500 * MS,
        cold,
        rate_limit: Some(RateLimit { rate: 10.0, burst: 20.0 }),
        max_memory_kb: 100_000,
        max_descriptors: 512,
    }
}

fn arrived(call: u32, node: u32, first: u64) -> Arrived {
    let (first, last) = (first * MS, first * MS + 700);
    Arrived {
        call,
        host: 1,
        node,
        node_shard: node,
        request_shard: node,
        first,
        last,
        volume: u64::from(call),
        units: 2,
        key: None,
    }
}

fn asked(call: u32, at: u64) -> Entry {
    Entry::Asked { call, host: 1, connecting_at: at * MS, at: at * MS, until: (at + 400) * MS }
}

/// Each rule broken once, and an unanswered request at a scheduler that was killed, which is excused.
fn log() -> Vec<Entry> {
    let mut log = vec![
        asked(1, 0),
        asked(2, 10),
        Entry::Answered { call: 2, at: 500 * MS, status: 200 },
        asked(3, 20),
        Entry::Answered { call: 3, at: 60 * MS, status: 200 },
        Entry::Answered { call: 3, at: 70 * MS, status: 503 },
        Entry::Asked { call: 4, host: 2, connecting_at: 30 * MS, at: 30 * MS, until: 430 * MS },
        Entry::Killed { host: 2, span: Span::new(100 * MS, 100 * MS), terminated_at: None },
        Entry::Arrived(arrived(5, 0, 600)),
        Entry::Arrived(arrived(5, 1, 610)),
        Entry::AttemptOver { call: 5, node: 0, at: 640 * MS },
        Entry::Arrived(Arrived { node_shard: 0, request_shard: 2, ..arrived(6, 0, 650) }),
        Entry::Arrived(Arrived { key: Some("k-7".into()), ..arrived(7, 0, 700) }),
        Entry::AttemptOver { call: 7, node: 0, at: 720 * MS },
        Entry::Arrived(Arrived { key: Some("k-7".into()), ..arrived(7, 0, 1300) }),
        Entry::DrainNotified { host: 1, node: 3, since: 1400 * MS, at: 1410 * MS },
        Entry::Arrived(arrived(8, 3, 1800)),
        Entry::NodeStarted { node: 4, at: 2000 * MS },
        Entry::ResourcesUsed { host: 1, at: 3000 * MS, memory_kb: 100_001, descriptors: 7 },
        Entry::Arrived(Arrived { volume: 99, units: 31, ..arrived(9, 0, 3100) }),
    ];
    log.extend((0..40).map(|place| Entry::Arrived(arrived(100 + place, 4, 2100 + u64::from(place)))));
    log
}

#[test]
fn each_broken_rule_prints_the_same_line() {
    let mut printed = String::new();
    for breach in judge(&log(), &rules()) {
        writeln!(printed, "{breach}").unwrap();
    }
    assert_eq!(printed, include_str!("fixtures/verdict.txt"));
}
