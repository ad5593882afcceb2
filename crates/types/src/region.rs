use crate::text_id::text_id;

text_id!(
    /// The region that an availability zone belongs to, from the daemon's settings.
    Region
);
