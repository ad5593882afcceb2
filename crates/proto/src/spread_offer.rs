use prost::Message;

/// Consecutive deltas, oldest first; each names the version that it changes and the one that results.
#[derive(Clone, Message, PartialEq)]
pub struct SpreadOffer {
    /// The deltas, each as `medlarspool_spread::decode_update` decodes it.
    #[prost(bytes = "vec", repeated, tag = "1")]
    pub deltas: Vec<Vec<u8>>,
}
