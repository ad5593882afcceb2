/// An IP address and port; host names are never resolved.
pub type Address = std::net::SocketAddr;
