use crate::text_id::text_id;

text_id!(
    /// Identifies a customer in the customers' list.
    CustomerId
);
