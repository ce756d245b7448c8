use super::*;

#[test]
fn a_key_queue_serves_requests_in_order_and_pauses_during_its_cool_down() {
    let (mut queues, key) = (KeyQueues::default(), KeyId(1));
    assert!(queues.push(10, key, RequestId(1)));
    assert!(!queues.push(10, key, RequestId(2)), "another request is before it");
    assert!(!queues.remove(key, RequestId(2)) && queues.remove(key, RequestId(1)));
    queues.start_cool_down(key, 30);
    assert!(!queues.push(20, key, RequestId(3)), "the key is paused");
    let ends = (queues.end_cool_down(29), queues.end_cool_down(30), queues.end_cool_down(30));
    assert_eq!(ends, (None, Some(key), None));
    queues.start_cool_down(KeyId(2), 40);
    assert_eq!(queues.end_cool_down(50), None, "an unknown key is not paused");
}
