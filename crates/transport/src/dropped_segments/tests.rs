use super::*;

/// Guards against a log line that names another counter: the counters of the system differ in number.
#[test]
fn the_counter_is_found_by_its_name() {
    let counters = "TcpExt: SyncookiesSent TCPRcvQDrop TCPWqueueTooBig\nTcpExt: 3 2449 7\n\
                    IpExt: InNoRoutes TCPRcvQDrop\nIpExt: 1 2\n";
    assert_eq!(parse(counters), Some(2449));
    assert_eq!(parse("TcpExt: SyncookiesSent\nTcpExt: 3\n"), None);
    assert_eq!(parse("TcpExt: TCPRcvQDrop\n"), None);
}
