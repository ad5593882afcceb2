use prost::Message;

/// Identifies one crash of an upstream.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireCrash {
    /// The instance whose upstream crashed.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Chosen by the gate that reports the crash; different for each crash of that instance.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}
