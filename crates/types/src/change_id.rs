use crate::text_id::text_id;

text_id!(
    /// Names one change of the lists; made before its first try so that a lost answer can be settled.
    ChangeId
);
