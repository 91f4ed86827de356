//! Opens listening sockets at startup, with retries while the system is short of resources.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

/// A shortage of resources that lasts longer than this fails the start.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Length of the queue of connections that are not accepted yet. When it is full, the system drops a client's SYN,
/// and the client retransmits it after a whole second: longer than most deadlines. A burst of clients may arrive
/// while this process is busy, so this is far above the number accepted in one turn; the system caps it at its own
/// limit.
const BACKLOG: u32 = 1024;
/// Linux error numbers of transient failures: EINTR, EAGAIN, ENOMEM, ENFILE, EMFILE, ENOBUFS.
const TRANSIENT_ERRORS: [i32; 6] = [4, 11, 12, 23, 24, 105];

/// Opens a listener on `address`; transient failures are retried.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let give_up_at = Instant::now() + RETRY_TIMEOUT;
    loop {
        match bind(address) {
            Err(error) if is_transient(&error) && Instant::now() < give_up_at => {
                tracing::warn!("cannot listen on {address} yet, retrying: {error}");
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

fn is_transient(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| TRANSIENT_ERRORS.contains(&number))
}
