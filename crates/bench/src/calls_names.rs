use medlarspool_types::{CallId, CustomerId, InstanceId};

pub(crate) fn parse_id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the model's names are valid ids")
}

pub(crate) fn customer_id(index: u32) -> CustomerId {
    parse_id(&format!("c{index}"))
}

pub(crate) fn upstream_index(instance: &InstanceId) -> usize {
    instance.as_str()[1..]
        .parse()
        .expect("a model instance is `i` and its number")
}

pub(crate) fn call_id(call: usize) -> CallId {
    CallId(call as u128)
}

pub(crate) fn call_index(call: CallId) -> usize {
    usize::try_from(call.0).expect("a model call id is an index")
}
