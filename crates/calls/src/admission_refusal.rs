use displaydoc::Display;

/// Why the configuration does not let a request pass.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AdmissionRefusal {
    /// the customer's plan does not allow the service
    NotInPlan,
    /// no customer has this credential
    UnknownCredential,
    /// the customer is not in the list
    UnknownCustomer,
    /// the service is not in the list
    UnknownService,
}
