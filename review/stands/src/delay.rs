//! A proxy that passes bytes on with a delay, as between two zones.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::listen;

/// The most bytes that pass at a time.
const PIECE: usize = 64 * 1024;

/// Starts a proxy to `target` that delays each direction by `one_way`, and returns its address.
pub fn start(target: SocketAddr, one_way: Duration) -> SocketAddr {
    let (listener, address) = listen();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { continue };
            pass(near, far, one_way);
            pass(far_copy, near_copy, one_way);
        }
    });
    address
}

/// Passes bytes from one connection to another until the first ends; the end passes on too.
fn pass(mut from: TcpStream, mut to: TcpStream, one_way: Duration) {
    let (sender, pieces) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = vec![0; PIECE];
        // An end or an error is passed on as an empty piece.
        loop {
            let size = from.read(&mut buffer).unwrap_or(0);
            if sender.send((Instant::now() + one_way, buffer[..size].to_vec())).is_err() || size == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, piece) in pieces {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if piece.is_empty() || to.write_all(&piece).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
