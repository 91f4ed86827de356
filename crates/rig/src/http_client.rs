//! Short questions to a process: one request on a connection of its own.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Whoever has not answered by then does not.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The most that is read of an answer, in bytes.
const MOST: usize = 1024 * 1024;

/// Asks for a path. Gives the status and the body.
///
/// # Errors
/// Nobody answers, or not in time.
pub async fn get(to: SocketAddr, path: &str) -> io::Result<(u16, String)> {
    let asks = async {
        let stream = TcpStream::connect(to).await?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let connection = tokio::spawn(connection);
        let request = http::Request::get(path).header(http::header::HOST, to.to_string());
        let request = request.body(Empty::<Bytes>::new()).map_err(io::Error::other)?;
        let response = sender.send_request(request).await.map_err(io::Error::other)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MOST).collect().await.map_err(io::Error::other)?;
        connection.abort();
        Ok((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()))
    };
    tokio::time::timeout(TIMEOUT, asks).await.map_err(io::Error::other)?
}
