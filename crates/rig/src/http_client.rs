//! A small HTTP client for health checks and the operators' console of a dispatcher.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Timeout of a whole exchange, from connecting to the end of the response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response body, in bytes.
const MAX_BODY: usize = 1024 * 1024;

/// Sends a GET request on a connection of its own. Returns the status and the body.
///
/// # Errors
/// The exchange fails, exceeds the timeout, or the body is too large.
pub async fn get(to: SocketAddr, path: &str) -> io::Result<(u16, String)> {
    let exchange = async {
        let stream = TcpStream::connect(to).await?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let connection = tokio::spawn(connection);
        let request = http::Request::get(path).header(http::header::HOST, to.to_string());
        let request = request.body(Empty::<Bytes>::new()).map_err(io::Error::other)?;
        let response = sender.send_request(request).await.map_err(io::Error::other)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_BODY).collect().await.map_err(io::Error::other)?;
        connection.abort();
        Ok((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()))
    };
    tokio::time::timeout(TIMEOUT, exchange).await.map_err(io::Error::other)?
}
