use std::rc::Rc;

/// One service of a route and its share of the route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: Rc<str>,
    /// Its share, in proportion to the other parts' weights.
    pub weight: u32,
}
