use crate::text_id::text_id;

text_id!(
    /// Names a plan in the plans' list.
    PlanId
);
