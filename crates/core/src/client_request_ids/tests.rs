//! Tests of the ids in virtual time.

use tokio::time::advance;

use super::*;

fn id(number: usize) -> String {
    format!("{number:016x}")
}

/// Guards against a request that is executed a second time when its id comes again.
#[tokio::test(start_paused = true)]
async fn an_id_is_free_again_unless_its_request_may_have_been_executed() {
    let ids = ClientRequestIds::default();
    let unsent = ids.reserve("00000000000000AB").unwrap();
    assert!(ids.reserve("00000000000000ab").is_none(), "the same number");
    drop(unsent);
    let mut executed = ids.reserve("00000000000000ab").unwrap();
    executed.mark_executed();
    drop(executed);
    advance(RETENTION - Duration::from_millis(1)).await;
    assert!(ids.reserve("00000000000000ab").is_none());
    advance(Duration::from_millis(1)).await;
    assert!(ids.reserve("00000000000000ab").is_some());
}

/// Guards against memory that grows with every new id.
#[tokio::test(start_paused = true)]
async fn the_number_of_ids_is_bounded_and_the_oldest_are_forgotten_first() {
    let ids = ClientRequestIds::default();
    ids.add_executed((0..MAX_EXECUTED_IDS + 10).map(|number| ClientRequestId::new(&id(number))));
    let count = ids.lock().executed.len();
    assert_eq!((count, ids.all().len()), (MAX_EXECUTED_IDS, MAX_EXECUTED_IDS));
    assert!(ids.reserve(&id(9)).is_some() && ids.reserve(&id(10)).is_none());
}
