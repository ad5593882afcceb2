use crate::{PlatformError, Row, RowWrite};

/// The platform's table service and object store; calls block for at most the client's timeout.
pub trait Platform: Send + Sync {
    /// Reads an object; none stands under the name if the answer is `None`.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached or answers with something else.
    fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError>;

    /// Writes an object; writing the same content again changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the write was refused or its outcome is not known.
    fn put_object(&self, name: &str, content: &[u8]) -> Result<(), PlatformError>;

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached or answers with something else.
    fn get_row(&self, key: &str) -> Result<Option<Row>, PlatformError>;

    /// Reads at most `limit` rows whose keys start with `prefix`, in the order of their keys.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached or answers with something else.
    fn list_rows(&self, prefix: &str, limit: usize) -> Result<Vec<Row>, PlatformError>;

    /// Writes all rows or none.
    ///
    /// # Errors
    ///
    /// Fails if a condition doesn't hold, the write was refused or its outcome is not known.
    fn transact(&self, writes: &[RowWrite]) -> Result<(), PlatformError>;
}
