use crate::{PlatformError, Row, RowWrite};

/// The platform's table service and object store; each call blocks for at most the client's timeout.
pub trait Platform: Send + Sync {
    /// Reads an object; returns `None` if there is no object of that name.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached, refuses the request or sends an unexpected response.
    fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError>;

    /// Writes an object, or replaces the object of that name; writing the same content again changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the write was refused or if its outcome is not known.
    fn put_object(&self, name: &str, content: &[u8]) -> Result<(), PlatformError>;

    /// Reads a row; returns `None` if there is no row with that key.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached, refuses the request or sends an unexpected response.
    fn get_row(&self, key: &str) -> Result<Option<Row>, PlatformError>;

    /// Reads at most `limit` rows whose keys start with `prefix`, in the order of their keys.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached, refuses the request or sends an unexpected response.
    fn list_rows(&self, prefix: &str, limit: usize) -> Result<Vec<Row>, PlatformError>;

    /// Writes all rows atomically: either all are written or none is.
    ///
    /// # Errors
    ///
    /// Fails if a condition does not hold, if the write was refused or if its outcome is not known.
    fn transact(&self, writes: &[RowWrite]) -> Result<(), PlatformError>;
}
