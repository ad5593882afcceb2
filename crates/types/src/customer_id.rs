use crate::text_id::text_id;

text_id!(
    /// Names a customer in the customers' list.
    CustomerId
);
