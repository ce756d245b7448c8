//! Answers that their node writes slowly: in many pieces, in lumps, or long after the head.

use std::time::Duration;

use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use heathward_fakes::*;

/// How a node states the end of its answer.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    UntilClosed,
}

/// The pace of a node.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Length of the body, in bytes.
    size: usize,
    /// The time between the head and the first byte of the body.
    after_head: Duration,
    /// Bytes that are written at a time.
    piece: usize,
    /// The pause after each piece.
    pause: Duration,
}

impl Pace {
    const fn new(size: usize, after_head_ms: u64, piece: usize, pause_ms: u64) -> Self {
        let after_head = Duration::from_millis(after_head_ms);
        Self { size, after_head, piece, pause: Duration::from_millis(pause_ms) }
    }
}

fn test_data(size: usize) -> Vec<u8> {
    (0..size).map(|index| (index * 31 % 251) as u8).collect()
}

/// Reads one request, and answers it at this pace.
async fn serve_slowly(mut stream: TcpStream, framing: Framing, pace: Pace) -> Option<()> {
    read_message(&mut stream).await?;
    let field = match framing {
        Framing::Length => format!("content-length: {}\r\n", pace.size),
        Framing::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
        Framing::UntilClosed => String::new(),
    };
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{field}\r\n").as_bytes()).await.ok()?;
    sleep(pace.after_head).await;
    for piece in test_data(pace.size).chunks(pace.piece) {
        let bytes = match framing {
            Framing::Chunked => [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat(),
            Framing::Length | Framing::UntilClosed => piece.to_vec(),
        };
        stream.write_all(&bytes).await.ok()?;
        sleep(pace.pause).await;
    }
    if let Framing::Chunked = framing {
        stream.write_all(b"0\r\n\r\n").await.ok()?;
    }
    Some(())
}

/// Starts a scheduler before a node that answers each request at this pace.
async fn rig_before_slow_node(framing: Framing, pace: Pace) -> Rig {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_slowly(stream, framing, pace));
        }
    });
    rig(&[member("s0", address, 0, "in_service", 0)], None).await
}

/// Guards against an answer that is cut off, or asked for again, because its node pauses while it writes.
#[rstest]
#[case::late_body(Pace::new(103_654, 300, 29_000, 20))]
#[case::steady(Pace::new(198_319, 0, 12_680, 95))]
#[case::lumps(Pace::new(168_397, 0, 40_000, 400))]
#[case::trickle(Pace::new(90_000, 0, 1_000, 20))]
#[case::one_long_pause(Pace::new(150_000, 0, 75_000, 1_500))]
#[case::short_and_steady(Pace::new(60_000, 0, 6_000, 80))]
#[case::short_and_late(Pace::new(20_000, 150, 20_000, 0))]
#[tokio::test]
async fn an_answer_is_not_cut_off_while_its_node_writes_slowly(
    #[case] pace: Pace,
    #[values(Framing::Length, Framing::Chunked, Framing::UntilClosed)] framing: Framing,
) {
    let rig = rig_before_slow_node(framing, pace).await;
    let (status, _, body) = rig.ask(&request("consulta", 1, 0, 900, "")).await;
    assert!(status == 200 && body == test_data(pace.size), "{status}, {} bytes", body.len());
    assert_eq!(rig.counters().await.attempts_sent, 1);
}

/// Returns how many bytes the system holds for clients of the front that are still to be sent.
fn unsent_bytes(front: std::net::SocketAddr) -> u64 {
    let local_port = format!(":{:04X}", front.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let queue = |line: &str| {
        let fields: Vec<&str> = line.split_ascii_whitespace().collect();
        let sent = fields.get(4)?.split(':').next()?;
        fields.get(1)?.ends_with(&local_port).then(|| u64::from_str_radix(sent, 16).unwrap())
    };
    sockets.lines().filter_map(queue).max().unwrap_or(0)
}

/// Guards against a client that reads 64 kB a second and is taken for one that reads nothing, which is found
/// out after 30 s: the system shows progress only once a third of its buffer is free.
#[tokio::test]
async fn the_system_shows_in_time_that_a_slow_client_reads() {
    let pace = Pace::new(12_000_000, 0, 1_000_000, 0);
    let rig = rig_before_slow_node(Framing::Length, pace).await;
    let mut client = TcpStream::connect(rig.front).await.unwrap();
    client.write_all(request("consulta", 1, 0, 900, "").as_bytes()).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    let unsent = unsent_bytes(rig.front);
    assert!(unsent / 3 <= 64_000 * 30, "{unsent} bytes");
    assert_eq!(answer(&mut client).await.2.len(), pace.size);
}
