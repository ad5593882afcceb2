use medlarspool_types::{CallId, CustomerId, InstanceId};

pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("model names are valid ids")
}

pub(crate) fn customer(number: u32) -> CustomerId {
    name(&format!("c{number}"))
}

pub(crate) fn number(instance: &InstanceId) -> usize {
    instance.as_str()[1..]
        .parse()
        .expect("instances are numbered")
}

pub(crate) fn id(call: usize) -> CallId {
    CallId(call as u128)
}

pub(crate) fn index(call: CallId) -> usize {
    usize::try_from(call.0).expect("calls are numbered")
}
