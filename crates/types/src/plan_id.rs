use crate::text_id::text_id;

text_id!(
    /// Identifies a plan in the plans' list.
    PlanId
);
