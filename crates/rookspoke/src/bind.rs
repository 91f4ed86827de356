//! Listening sockets at the start, which the system may refuse for a moment.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::time::sleep;

/// What the system is short of for longer than this ends the start.
const PATIENCE: Duration = Duration::from_secs(3);
/// Between two tries.
const PAUSE: Duration = Duration::from_millis(20);
/// Linux's numbers of what passes: EINTR, EAGAIN, ENOMEM, ENFILE, EMFILE, ENOBUFS.
const PASSING: [i32; 6] = [4, 11, 12, 23, 24, 105];

/// A listener at this address.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let by = Instant::now() + PATIENCE;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if passes(&error) && Instant::now() < by => {
                tracing::warn!("listening at {address}: {error}");
                sleep(PAUSE).await;
            }
            done => return done,
        }
    }
}

fn passes(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| PASSING.contains(&number))
}
