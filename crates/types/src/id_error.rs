use displaydoc::Display;

/// Why a text is not a valid id.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum IdError {
    /// an id is empty
    Empty,
    /// `{0}` has a character other than a-z, 0-9, `-`, `_` and `.`
    ForbiddenCharacter(String),
    /// `{0}` is not a hexadecimal number of up to 128 bits
    NotANumber(String),
    /// `{0}` is longer than 64 characters
    TooLong(String),
}

impl std::error::Error for IdError {}
