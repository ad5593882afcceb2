/// Whether a request may run twice without harm, by RFC 9110 section 9.2.2.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    /// A second run has the effect of one.
    Idempotent,
    /// A second run may do harm.
    NonIdempotent,
}

impl Idempotency {
    /// Tells it by the method, which is matched in upper case as HTTP does.
    #[must_use]
    pub fn of_method(method: &str) -> Self {
        match method {
            "DELETE" | "GET" | "HEAD" | "OPTIONS" | "PUT" | "TRACE" => Self::Idempotent,
            _ => Self::NonIdempotent,
        }
    }
}
