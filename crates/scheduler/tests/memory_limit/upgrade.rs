//! Two processes of one scheduler, which share the limit.

use std::sync::Arc;
use std::time::Duration;

use heathward_fakes::Program;
use tokio::sync::Barrier;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use crate::crowd::{upload, ARRIVAL_INTERVAL, MAX_SOCKETS};
use crate::fixture::{start, start_with_sockets, turn, MEMORY_MB, SOCKETS};
use crate::http::{serve_all, upload_beside, LONG_BODY};

/// How often the platform looks at the memory of both processes.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Clients of each process: it holds five thirty-seconds of the descriptors for connections to nodes.
const CLIENTS_OF_EACH: usize = SOCKETS * 5 / 32;
const CLIENTS: usize = 2 * CLIENTS_OF_EACH;
/// Clients that are gone when the second process starts.
const CROWD: usize = 300;

/// Returns the memory of both processes, in kilobytes; the pages of the program count once.
pub fn joint_memory_kb(old: &Program, new: &Program) -> usize {
    let (old, new) = (old.held(), new.held());
    old.resident_kb + new.resident_kb - old.file_kb.min(new.file_kb)
}

/// Guards against two processes that each take the whole limit while one takes over from the other.
#[tokio::test]
async fn two_processes_stay_within_the_limit_of_memory_together() {
    let _turn = turn().await;
    let (instance, mut old) = start(serve_all).await;
    let (opened, finish) = (Arc::new(Barrier::new(CLIENTS + 1)), Arc::new(Barrier::new(CLIENTS + 1)));
    let upload = |clients| {
        tokio::spawn(upload_beside(instance.listen, clients, LONG_BODY, opened.clone(), finish.clone()))
    };
    let first = upload(0..CLIENTS_OF_EACH);
    // The connections of the first clients are established while there is only the old process.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let new = instance.start();
    old.until("peer process: serving");
    let second = upload(CLIENTS_OF_EACH..CLIENTS);
    opened.wait().await;
    let together = joint_memory_kb(&old, &new);
    println!("{together} kB with half of all bodies sent");
    let mut peak_kb = together;
    let mut samples = interval(SAMPLE_INTERVAL);
    let uploads = async {
        finish.wait().await;
        (first.await.unwrap(), second.await.unwrap())
    };
    tokio::pin!(uploads);
    let (first, second) = loop {
        tokio::select! {
            statuses = &mut uploads => break statuses,
            _ = samples.tick() => peak_kb = peak_kb.max(joint_memory_kb(&old, &new)),
        }
    };
    assert_eq!(
        (first.count(200), second.count(200)),
        (CLIENTS_OF_EACH, CLIENTS_OF_EACH),
        "{first:?}, {second:?}"
    );
    println!("{peak_kb} kB at most");
    assert!(peak_kb <= MEMORY_MB * 1024, "over {MEMORY_MB} MB together: {peak_kb} kB");
}

/// Guards against a process that keeps the memory of a crowd that is gone: a process that takes over later
/// finds too little.
#[tokio::test]
async fn a_process_that_takes_over_after_a_crowd_finds_the_memory_that_was_released() {
    let _turn = turn().await;
    let (instance, mut old) = start_with_sockets(serve_all, MAX_SOCKETS).await;
    let mut clients = JoinSet::new();
    for call in 0..CROWD {
        let listen = instance.listen;
        clients.spawn(async move {
            sleep(ARRIVAL_INTERVAL * call as u32).await;
            upload(listen, call, 150_000, 5_000, Duration::from_millis(75)).await
        });
    }
    clients.join_all().await;
    let new = instance.start();
    old.until("peer process: serving");
    sleep(Duration::from_secs(1)).await;
    let together = joint_memory_kb(&old, &new);
    println!("{:?}, {:?}", old.held(), new.held());
    assert!(together <= MEMORY_MB * 1024, "over {MEMORY_MB} MB together: {together} kB");
}
