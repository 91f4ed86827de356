//! What guards client sockets: how many there may be and for how long without a request, and how the
//! requests on one are framed. It knows nothing of what a request says.

mod framing;
mod limit;
mod listener;
mod socket;

pub use limit::{ConnectionCounts, ConnectionLimit, Permit, Timeouts};
pub use listener::Listener;
pub use socket::{ClientSocket, CutOff, FramedSocket, SocketHandle};
