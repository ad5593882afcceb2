use std::rc::Rc;

/// One service of a route and its weight in the distribution of the route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: Rc<str>,
    /// Its share of the requests, relative to the weights of the route's other services.
    pub weight: u32,
}
