use prost::Message;

/// Confirms that a crash notice was applied.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct CrashConfirmation {}
