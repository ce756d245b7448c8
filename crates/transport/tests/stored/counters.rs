//! The counters line, which is logged at shutdown and on SIGUSR1.

use heathward_core::{AnswerCounts, ConfigurationReloads, Counters};

#[test]
fn the_counters_line_is_written_as_stored() {
    let counters = Counters {
        requests_received: 1,
        malformed_requests: 2,
        client_disconnects: 3,
        attempts_sent: 4,
        attempt_ends: [5, 6, 7, 8, 9, 10, 11, 12],
        attempts_written: 13,
        answers_by_class: vec![
            AnswerCounts { served: 14, shed: 15, failed: 16 },
            AnswerCounts { served: 20, shed: 30, failed: 40 },
        ],
        overdue_requests: 17,
        endpoint_updates: 18,
        node_checks: 19,
        configuration_reloads: ConfigurationReloads { applied: 20, rejected: 21 },
    };
    assert_eq!(format!("{counters}\n"), include_str!("fixtures/counters.txt"));
}
