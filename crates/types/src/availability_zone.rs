use crate::text_id::text_id;

text_id!(
    /// The availability zone of an instance, from its settings.
    AvailabilityZone
);
