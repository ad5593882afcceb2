use std::io::{ErrorKind, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// The most bytes of a decompressed configuration, so that a broken copy can't exhaust the memory.
const MAX_CONFIG_BYTES: u64 = 32 << 20;

/// Compresses a configuration for other daemons: its text is repetitive, and small machines have slow links.
///
/// # Errors
///
/// Returns an error if the encoder fails.
pub fn compress(config: &[u8]) -> std::io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(config)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses a configuration that another daemon compressed.
///
/// # Errors
///
/// Returns an error if the bytes are not deflated or hold more than 32 MiB.
pub fn decompress(compressed: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut config = Vec::new();
    DeflateDecoder::new(compressed)
        .take(MAX_CONFIG_BYTES + 1)
        .read_to_end(&mut config)?;
    if config.len() as u64 > MAX_CONFIG_BYTES {
        let reason = format!("the configuration has more than {MAX_CONFIG_BYTES} bytes");
        return Err(std::io::Error::new(ErrorKind::InvalidData, reason));
    }
    Ok(config)
}
