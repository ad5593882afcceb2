/// Whether a request may run twice without harm, by RFC 9110 section 9.2.2.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    /// Two runs have the same effect on the upstream as one.
    Idempotent,
    /// A second run may do harm.
    NonIdempotent,
}

impl Idempotency {
    /// Returns the idempotency of an HTTP method; methods are case-sensitive, as in HTTP.
    #[must_use]
    pub fn of_method(method: &str) -> Self {
        match method {
            "DELETE" | "GET" | "HEAD" | "OPTIONS" | "PUT" | "TRACE" => Self::Idempotent,
            _ => Self::NonIdempotent,
        }
    }
}
