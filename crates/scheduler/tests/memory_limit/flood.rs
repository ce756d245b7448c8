//! One client that sends small requests as fast as it can, beside clients that send one at a time.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use heathward_fakes::*;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{interval, Instant};

use crate::fixture::*;
use crate::http::{serve_all, shard};

/// For how long the client floods the scheduler.
const DURATION: Duration = Duration::from_secs(4);
/// The time between two requests of other clients.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Other clients have their answer by the time that the protocol adds to each limit on sockets, in the mean.
const MEAN_TIMEOUT: Duration = Duration::from_millis(50);
/// Requests that are prepared and sent over and over.
const BATCH: u32 = 20_000;

/// What the client sends.
#[derive(Clone, Copy, Debug)]
enum Flood {
    HealthChecks,
    /// Health checks with many fields.
    LongHeads,
    /// Requests of ever new volumes, with ever new ids.
    NewVolumes,
    /// The same for a shard that no node holds.
    UnknownShard,
    /// Requests with hardly any time left.
    NoTime,
    UnknownClass,
}

impl Flood {
    fn request(self, number: u32) -> String {
        let of_shard = |shard| {
            request("consulta", 1 << 24 | number, shard, 400, "")
                .replace("00000003b4d60021", &format!("{number:016x}"))
        };
        match self {
            Self::HealthChecks => "GET /healthz HTTP/1.1\r\n\r\n".to_owned(),
            Self::LongHeads => format!("GET /healthz HTTP/1.1\r\n{}\r\n", "a:b\r\n".repeat(90)),
            Self::NewVolumes => of_shard(shard(number as usize)),
            Self::UnknownShard => of_shard(77),
            Self::NoTime => request("consulta", 1 << 24 | number, 0, 1, ""),
            Self::UnknownClass => request("nothing", 1 << 24 | number, 0, 400, ""),
        }
    }

    /// Sends requests until the flag is set, and connects again whenever the scheduler closes.
    fn run(self, listen: SocketAddr, stop: &AtomicBool) -> Option<()> {
        let requests: Vec<u8> = (0..BATCH).flat_map(|number| self.request(number).into_bytes()).collect();
        while !stop.load(Ordering::Relaxed) {
            let mut stream = std::net::TcpStream::connect(listen).ok()?;
            let mut reader = stream.try_clone().ok()?;
            let reading =
                std::thread::spawn(move || while reader.read(&mut [0; 65_536]).is_ok_and(|n| n > 0) {});
            for part in requests.chunks(16_384).cycle() {
                if stop.load(Ordering::Relaxed) || stream.write_all(part).is_err() {
                    break;
                }
            }
            let _ = stream.shutdown(std::net::Shutdown::Both);
            reading.join().ok()?;
        }
        Some(())
    }
}

/// Guards against a client that keeps others from their answers, or fills the memory, with small requests.
#[rstest]
#[tokio::test]
async fn a_flood_of_small_requests_leaves_others_their_answers(
    #[values(
        Flood::HealthChecks,
        Flood::LongHeads,
        Flood::NewVolumes,
        Flood::UnknownShard,
        Flood::NoTime,
        Flood::UnknownClass
    )]
    flood: Flood,
) {
    let _turn = turn().await;
    let (instance, program) = start(serve_all).await;
    let stop = Arc::new(AtomicBool::new(false));
    let (listen, stopped) = (instance.listen, stop.clone());
    let flooding = std::thread::spawn(move || flood.run(listen, &stopped));
    let (mut probes, mut delays) = (interval(PROBE_INTERVAL), Vec::new());
    let end = Instant::now() + DURATION;
    for call in 0.. {
        let sent_at = probes.tick().await;
        if sent_at >= end {
            break;
        }
        let mut client = TcpStream::connect(listen).await.unwrap();
        let read = request("consulta", call, shard(call as usize), 900, "");
        client.write_all(read.as_bytes()).await.unwrap();
        assert_eq!(receive_answer(&mut client).await.expect("an answer").0, 200);
        delays.push(sent_at.elapsed());
    }
    stop.store(true, Ordering::Relaxed);
    flooding.join().unwrap();
    let mean = delays.iter().sum::<Duration>() / delays.len() as u32;
    println!("{mean:?} in the mean, {:?} at most, {} requests", delays.iter().max(), delays.len());
    assert_within_limit(&program).await;
    assert!(mean <= MEAN_TIMEOUT, "{mean:?}");
}
