use crate::text_id::text_id;

text_id!(
    /// Names a service, which several upstreams offer.
    ServiceName
);
