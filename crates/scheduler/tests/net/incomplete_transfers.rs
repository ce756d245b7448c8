//! Nodes that report success although not all data of the request was transferred, or other data than was
//! requested: the attempt has failed and may have been executed, whatever protocol the node and the client
//! speak.

use std::time::Duration;

use heathward_policy::AttemptEnd;
use heathward_transport::nvme::Status;
use rstest::rstest;

use heathward_fakes::nvme::*;
use heathward_fakes::*;

use crate::mixed_rig::{start_mixed, MixedRig};

/// Length of the data of a command, in bytes; more than fits in a capsule of the target.
const LARGE: usize = 32 * 1024;
/// The first block that is on the NVMe target.
const TARGET: u64 = 256;
/// The time in which the repeats of a write must begin after its first attempt.
const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(2500);

/// Checks that the attempts of one request ended with these numbers of errors and successes, one after the
/// other, and that the request was counted once.
async fn check_attempts(mixed: &MixedRig, errors: u64, served: u64) {
    let counters = mixed.rig.counters().await;
    let ended = |end| counters.attempts_ended(end);
    assert_eq!((ended(AttemptEnd::Error), ended(AttemptEnd::Served)), (errors, served), "{counters}");
    let answers = counters.total_answers();
    assert_eq!((answers.served, answers.served + answers.shed + answers.failed), (served, 1), "{counters}");
    mixed.log.check_one_at_a_time();
    let seen = mixed.log.all();
    let span = seen.last().unwrap().at - seen[0].at;
    assert!(span < DEDUPLICATION_WINDOW, "retries within the window: {span:?}");
}

/// Returns the length of the data and how many of its bytes are zero.
fn summary(data: &[u8]) -> String {
    let zeros = data.iter().filter(|byte| **byte == 0).count();
    format!("{} bytes, {zeros} of them zero", data.len())
}

/// Guards against a read that succeeds with zeros in place of data that the node did not send: an NVMe target
/// completes a read with success before it has sent all of its data.
#[rstest]
#[tokio::test]
async fn a_read_without_all_its_data_is_repeated_and_not_served(
    #[values(0, SMALL, LARGE / 2, LARGE - 1)] sent_bytes: usize,
) {
    let mixed = start_mixed(&[Does::ServeBytes(sent_bytes), Does::Serve], 0).await;
    let mut host = Host::connect(mixed.address).await;
    let (completion, data) = host.read(1, TARGET, LARGE).await;
    assert_eq!(completion.status, Status::SUCCESS);
    assert!(data == vec![0; LARGE], "not the data of the repeat: {}", summary(&data));
    check_attempts(&mixed, 1, 1).await;
}

/// Guards against success for a read that no attempt has completed.
#[tokio::test]
async fn a_read_that_never_gets_all_its_data_is_interrupted() {
    let mixed = start_mixed(&[Does::ServeBytes(LARGE / 2)], 0).await;
    let mut host = Host::connect(mixed.address).await;
    let (completion, data) = host.read(1, TARGET, LARGE).await;
    assert_eq!(Status { retry_delay: 0, ..completion.status }, Status::INTERRUPTED);
    assert_eq!(data, b"");
    check_attempts(&mixed, 3, 0).await;
}

/// Guards against an HTTP answer with a part of the data of a read from an NVMe target.
#[tokio::test]
async fn an_http_read_of_a_target_without_all_its_data_is_not_served() {
    let mixed = start_mixed(&[Does::ServeBytes(SMALL)], 0).await;
    let path = format!("/consulta/{:016x}/{TARGET:016x}", 1);
    let read = request("consulta", 1, 1, 900, "");
    let read = read.replace("/consulta/00000003b4d60021/7f3a9c21e0b4d655?v=1", &path);
    assert!(read.contains(&path), "{read}");
    let (status, _, _) = mixed.rig.ask(&read).await;
    assert_eq!(status, 503);
    check_attempts(&mixed, 3, 0).await;
}
