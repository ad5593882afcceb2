/// Who may have sent a request, by its address and its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// A client on another instance.
    OtherInstance,
    /// A client on the own instance: the target runs nothing that could make the request.
    OwnClient,
    /// A client on the own instance, or the target.
    OwnInstance,
}
