use prost::Message;

/// Confirms that a crash notice was taken in.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct CrashConfirmation {}
