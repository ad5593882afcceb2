use crate::text_id::text_id;

text_id!(
    /// The name of a service, which several upstreams may provide.
    ServiceName
);
