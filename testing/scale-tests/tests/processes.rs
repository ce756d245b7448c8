//! What `/proc` says of a process.
#![cfg(test)]

use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use heathward_scale_tests::processes::sockets::{connected_inodes, descriptors_besides};
use heathward_scale_tests::processes::usage::{cpu, cpu_in};

#[test]
fn a_name_with_spaces_and_parentheses_shifts_no_field() {
    let stat = "42 (a (b) c) S 1 42 42 0 -1 4194560 100 0 0 0 150 25 0 0 20 0 1 0 99 1000 10 0";
    assert_eq!(cpu_in(stat), Some(Duration::from_millis(1_750)));
}

#[test]
fn what_is_no_such_line_has_no_time() {
    assert_eq!(cpu_in("42 (name) S 1 2 3"), None);
    assert_eq!(cpu_in("42 name"), None);
}

/// The time grows as this process works, however slow the machine.
#[test]
fn work_is_seen() {
    let (own, begin) = (std::process::id(), Instant::now());
    let before = cpu(own);
    // Threads of other tests may end meanwhile, and take their time with them.
    while cpu(own).saturating_sub(before) < Duration::from_millis(50) {
        assert!(begin.elapsed() < Duration::from_secs(60), "no processor time is counted");
    }
}

#[test]
fn sockets_are_told_apart_by_the_remote_port() {
    let sockets = "\
  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:1F90 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 11 1 0 100
   1: 0100007F:A001 0100007F:1F90 01 00000000:00000000 00:00000000 00000000     0        0 12 1 0 20
   2: 0100007F:1F90 0100007F:A001 01 00000000:00000000 00:00000000 00000000     0        0 13 1 0 20
";
    assert_eq!(connected_inodes(sockets, &[8080]), [12].into());
    assert_eq!(connected_inodes(sockets, &[8081]), [].into());
}

/// Both ends of a connection are this process's: one of them is connected to the listener.
#[test]
fn connections_to_a_port_are_left_out() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let open: Vec<_> = (0..5).map(|_| (TcpStream::connect(address).unwrap(), listener.accept())).collect();
    let kept = || {
        let own = std::process::id();
        (descriptors_besides(own, &[]), descriptors_besides(own, &[address.port()]))
    };
    // Other tests of this process open and close files meanwhile.
    let by = Instant::now() + Duration::from_secs(20);
    while kept().0 != kept().1 + open.len() {
        assert!(Instant::now() < by, "{:?}", kept());
    }
}
