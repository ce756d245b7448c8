use std::future::Future;

use super::*;

/// Many clients connect at random times, send a request and stay connected. Guards against closing
/// connections abruptly when the table is full, and against more open and closing connections than their
/// limits allow.
#[test]
fn whoever_makes_way_is_closed_in_order_and_the_limit_holds() {
    for cap in [1, 2, 16, 48, 256] {
        let mut rng = fastrand::Rng::with_seed(cap as u64);
        let table = ConnectionTable::new(cap);
        let mut now = Instant::now();
        let (mut open, mut refused) = (BTreeMap::new(), 0);
        for newcomer in 0..2_000 {
            now += Duration::from_millis(rng.u64(0..40));
            if let Some(slot) = table.admit(now) {
                let phase = match rng.u32(0..4) {
                    0 => Phase::Processing,
                    1 => Phase::ReceivingRequest(now),
                    _ => Phase::Idle(now),
                };
                slot.client.enter(phase);
                open.insert(newcomer, slot);
            } else {
                refused += 1;
            }
            // What is cut is closed; what is worked on is answered after a while.
            let told = |notify: &Notify| {
                let mut told = std::pin::pin!(notify.notified());
                told.as_mut().poll(&mut std::task::Context::from_waker(std::task::Waker::noop())).is_ready()
            };
            open.retain(|_, slot: &mut Slot| !told(&slot.client.cut));
            for slot in open.values().filter(|slot| slot.client.phase() == Phase::Processing) {
                if rng.u32(0..8) == 0 {
                    slot.client.enter(Phase::Idle(now));
                }
            }
            let slots = lock(&table.slots);
            assert!(slots.closing.len() <= closing_capacity(cap));
            assert!(slots.taken.len() <= cap, "{cap}");
            assert_eq!(slots.taken.len() + slots.closing.len(), open.len());
        }
        assert!(refused < 2_000);
        drop(open);
        let slots = lock(&table.slots);
        assert_eq!((slots.taken.len(), slots.closing.len()), (0, 0), "all is given back");
    }
}
