use crate::PlatformError;

/// The maximum length of a row's key or an object's name, in bytes.
const MAX_KEY_BYTES: usize = 512;

/// Checks that a key or name is not empty, not longer than [`MAX_KEY_BYTES`], and consists of ASCII letters,
/// digits and `-_./`, which need no escaping in a URL.
pub(crate) fn check(key: &str) -> Result<(), PlatformError> {
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_./".contains(byte);
    if !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.as_bytes().iter().all(allowed) {
        return Ok(());
    }
    Err(PlatformError::Malformed(format!("key `{key}`")))
}
