/// A measured figure of a bench, printed as `name value unit`.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// The name, in snake case.
    pub name: String,
    /// The unit as printed, such as `ms` or `B/s/daemon`; `count` or `1` for a figure without a unit.
    pub unit: &'static str,
    /// The value, printed with three decimals; NaN if it could not be measured.
    pub value: f64,
}

impl Figure {
    /// Creates a figure; the name must contain no space, because a space separates it from the value.
    #[must_use]
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self {
            name: name.into(),
            unit,
            value,
        }
    }
}

impl std::fmt::Display for Figure {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {:.3} {}", self.name, self.value, self.unit)
    }
}
