use super::*;

use rustix::net::sockopt::{socket_recv_buffer_size, socket_send_buffer_size};
use tokio::net::TcpListener;

/// Guards against a limit that stays with the listening socket: the system hands it on to the connections
/// that are accepted from it.
#[tokio::test]
async fn accepted_and_opened_connections_have_limited_buffers() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    limit_receive_buffers(&listener);
    limit_send_buffers(&listener);
    let opened = connect(listener.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    for stream in [&opened, &accepted] {
        assert_eq!(socket_recv_buffer_size(stream).unwrap(), 2 * RECEIVE_BUFFER_BYTES as usize);
    }
    assert_eq!(socket_send_buffer_size(&accepted).unwrap(), 2 * SEND_BUFFER_BYTES);
}
