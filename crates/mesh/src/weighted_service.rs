use std::rc::Rc;

/// One service of a route and its weight in the distribution of the route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: Rc<str>,
    /// Its share of the requests, relative to the weights of the route's other services; finite and not negative.
    pub weight: f64,
}
