use prost::Message;

/// One HTTP header of a caller's request or of an upstream's answer.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct Header {
    /// The name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value; headers whose value is not text are not forwarded.
    #[prost(string, tag = "2")]
    pub value: String,
}
