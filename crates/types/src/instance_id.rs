use crate::text_id::text_id;

text_id!(
    /// Identifies an instance, and thus the daemon and the upstream on it.
    InstanceId
);
