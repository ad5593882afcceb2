use std::sync::atomic::{AtomicU64, Ordering};

use medlarspool_platform::{FakePlatform, Platform, PlatformError, Row, RowWrite};

/// A fake platform that counts the bytes of the objects and values that are read and written.
#[derive(Clone, Default)]
pub struct MeteredPlatform {
    /// The platform that stores the data, counts the calls and injects faults.
    pub platform: FakePlatform,
    read_bytes: std::sync::Arc<AtomicU64>,
    written_bytes: std::sync::Arc<AtomicU64>,
}

impl MeteredPlatform {
    /// Returns the bytes of objects and values read so far.
    #[must_use]
    pub fn read_bytes(&self) -> u64 {
        self.read_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes of objects and values written so far, refused writes included.
    #[must_use]
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Relaxed)
    }

    fn count_read(&self, bytes: usize) {
        self.read_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count_written(&self, bytes: usize) {
        self.written_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Platform for MeteredPlatform {
    fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let object = self.platform.get_object(name)?;
        self.count_read(object.as_ref().map_or(0, Vec::len));
        Ok(object)
    }

    fn put_object(&self, name: &str, content: &[u8]) -> Result<(), PlatformError> {
        self.count_written(content.len());
        self.platform.put_object(name, content)
    }

    fn get_row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let row = self.platform.get_row(key)?;
        self.count_read(row.as_ref().map_or(0, |row| row.value.len()));
        Ok(row)
    }

    fn list_rows(&self, prefix: &str, limit: usize) -> Result<Vec<Row>, PlatformError> {
        let rows = self.platform.list_rows(prefix, limit)?;
        self.count_read(rows.iter().map(|row| row.value.len()).sum());
        Ok(rows)
    }

    fn transact(&self, writes: &[RowWrite]) -> Result<(), PlatformError> {
        let values = writes.iter().filter_map(|write| write.value.as_ref());
        self.count_written(values.map(String::len).sum());
        self.platform.transact(writes)
    }
}
