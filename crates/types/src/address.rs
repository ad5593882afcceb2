/// An IP address and port; names are never resolved.
pub type Address = std::net::SocketAddr;
