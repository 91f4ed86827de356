//! Accepts client connections and limits them: how many may be open, how long each may stay without a complete request,
//! and how the requests on one are delimited. Nothing here interprets a request.

mod framing;
mod limit;
mod listener;
mod socket;

pub use limit::{ConnectionCounts, ConnectionLimit, Permit, Timeouts};
pub use listener::Listener;
pub use socket::{ClientSocket, CutOff, FramedSocket, SocketHandle};
