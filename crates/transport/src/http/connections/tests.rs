use std::future::Future;

use super::*;

/// Many clients connect at random times, send a request and stay connected. Guards against closing
/// connections abruptly when the table is full, and against more open and closing connections than their
/// limits allow.
#[test]
fn evicted_connections_close_gracefully_and_the_table_keeps_its_limits() {
    for limit in [1, 2, 16, 48, 256] {
        let mut rng = fastrand::Rng::with_seed(limit as u64);
        let table = ConnectionTable::new(limit);
        let mut now = Instant::now();
        let (mut open, mut refused) = (BTreeMap::new(), 0);
        for number in 0..2_000 {
            now += Duration::from_millis(rng.u64(0..40));
            if let Some(slot) = table.admit(now) {
                let phase = match rng.u32(0..4) {
                    0 => Phase::Processing,
                    1 => Phase::ReceivingRequest(now),
                    _ => Phase::Idle(now),
                };
                slot.client.set_phase(phase);
                open.insert(number, slot);
            } else {
                refused += 1;
            }
            // Connections that must end at once are closed; requests in processing are answered after a
            // while.
            let is_notified = |notify: &Notify| {
                let mut notified = std::pin::pin!(notify.notified());
                notified
                    .as_mut()
                    .poll(&mut std::task::Context::from_waker(std::task::Waker::noop()))
                    .is_ready()
            };
            open.retain(|_, slot: &mut Slot| !is_notified(&slot.client.linger_cancelled));
            for slot in open.values().filter(|slot| slot.client.phase() == Phase::Processing) {
                if rng.u32(0..8) == 0 {
                    slot.client.set_phase(Phase::Idle(now));
                }
            }
            let slots = lock(&table.slots);
            assert!(slots.closing.len() <= closing_capacity(limit));
            assert!(slots.open.len() <= limit, "{limit}");
            assert_eq!(slots.open.len() + slots.closing.len(), open.len());
        }
        assert!(refused < 2_000);
        drop(open);
        let slots = lock(&table.slots);
        assert_eq!((slots.open.len(), slots.closing.len()), (0, 0), "dropped slots are removed");
    }
}
