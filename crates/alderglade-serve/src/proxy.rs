//! Requests to backend servers through another host, while this host's own path to them is cut.
//!
//! The host that accepted a request keeps it: it decides, counts retries, holds permits and memory, and relays the
//! answer. The other host, the proxy, only carries one exchange over its own connections. It sends nothing through a
//! third host, so there are neither chains nor loops. Proxied requests are HTTP on the port that hosts copy the
//! configuration from.

mod body;
mod head;
mod send;
mod serve;

pub use body::PeerBody;
pub use head::Purpose;
pub use send::{check, send};
pub use serve::serve;
