//! What guards client sockets: how many there may be and for how long without a request, and how the
//! requests on one are framed. It knows nothing of what a request says.

mod door;
mod framing;
mod room;
mod socket;

pub use door::Door;
pub use room::{Patience, Place, Room};
pub use socket::{Framed, Socket, SocketEnd};
