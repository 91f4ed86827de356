//! Listening sockets at the start, which the system may refuse for a moment.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

/// What the system is short of for longer than this ends the start.
const PATIENCE: Duration = Duration::from_secs(3);
/// Between two tries.
const PAUSE: Duration = Duration::from_millis(20);
/// Connections that the system keeps for a listener until they are accepted. Beyond this many it drops a client's first
/// packet, and the client tries again after a whole second: longer than most deadlines. A burst of clients comes while
/// this process is busy, so this is far above what is accepted in one turn; the system's own limit cuts it.
const BACKLOG: u32 = 1024;
/// Linux's numbers of what passes: EINTR, EAGAIN, ENOMEM, ENFILE, EMFILE, ENOBUFS.
const PASSING: [i32; 6] = [4, 11, 12, 23, 24, 105];

/// A listener at this address.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let by = Instant::now() + PATIENCE;
    loop {
        match bind(address) {
            Err(error) if passes(&error) && Instant::now() < by => {
                tracing::warn!("listening at {address}: {error}");
                sleep(PAUSE).await;
            }
            done => return done,
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

fn passes(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| PASSING.contains(&number))
}
