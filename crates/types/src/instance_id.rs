use crate::text_id::text_id;

text_id!(
    /// Names one instance and so the daemon and the upstream on it.
    InstanceId
);
