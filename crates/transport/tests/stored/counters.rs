//! The counters line, which is logged at the end and when it is asked for.

use heathward_core::{Answers, Counters};

#[test]
fn the_counters_line_is_written_as_stored() {
    let counters = Counters {
        taken: 1,
        malformed: 2,
        gone: 3,
        sent: 4,
        ends: [5, 6, 7, 8, 9, 10, 11, 12],
        tries: 13,
        answers: vec![
            Answers { served: 14, refused: 15, failed: 16 },
            Answers { served: 20, refused: 30, failed: 40 },
        ],
        overdue: 17,
        lists: 18,
        node_checks: 19,
        configured: (20, 21),
    };
    assert_eq!(format!("{counters}\n"), include_str!("fixtures/counters.txt"));
}
