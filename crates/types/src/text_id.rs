/// The longest text id in characters, which lets a datagram hold several ids.
pub(crate) const MAX_TEXT_ID_CHARACTERS: usize = 64;

/// Declares a type for text ids of up to 64 lower-case characters, which are validated when an id is created.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the id as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.to_string()
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::text_id::check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::IdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }
    };
}

pub(crate) use text_id;

/// Checks that a text is a valid id; called by the types that [`text_id!`] declares.
pub(crate) fn check(text: &str) -> Result<(), crate::IdError> {
    if text.is_empty() {
        return Err(crate::IdError::Empty);
    }
    if text.chars().count() > MAX_TEXT_ID_CHARACTERS {
        return Err(crate::IdError::TooLong(text.into()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    if !text.chars().all(allowed) {
        return Err(crate::IdError::ForbiddenCharacter(text.into()));
    }
    Ok(())
}
