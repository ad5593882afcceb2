use crate::text_id::text_id;

text_id!(
    /// Identifies one change of the configuration's lists; generated before the first attempt, so that the
    /// outcome of a change whose answer was lost can be looked up.
    ChangeId
);
