use prost::Message;

/// Consecutive deltas, oldest first; each names the two versions between which it leads.
#[derive(Clone, Message, PartialEq)]
pub struct SpreadOffer {
    /// The encoded deltas.
    #[prost(bytes = "vec", repeated, tag = "1")]
    pub deltas: Vec<Vec<u8>>,
}
