use crate::text_id::text_id;

text_id!(
    /// The availability zone that an instance stands in, from its settings.
    AvailabilityZone
);
