use prost::Message;

/// One HTTP header of a caller's request or of an upstream's answer.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct Header {
    /// The header's name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The header's value. Headers whose values are not text are not forwarded.
    #[prost(string, tag = "2")]
    pub value: String,
}
