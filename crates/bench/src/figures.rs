use crate::Figure;

/// The figures of a bench and the names of those that exceed their bounds.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    figures: Vec<Figure>,
    missed_bounds: Vec<String>,
}

impl Figures {
    /// Adds a figure without a bound.
    pub fn add(&mut self, name: impl Into<String>, value: f64, unit: &'static str) {
        self.figures.push(Figure::new(name, value, unit));
    }

    /// Adds a figure that must be at most `max`; a NaN misses the bound, too.
    pub fn add_bounded(
        &mut self,
        name: impl Into<String>,
        value: f64,
        unit: &'static str,
        max: f64,
    ) {
        let name = name.into();
        if value.is_nan() || value > max {
            self.missed_bounds.push(name.clone());
        }
        self.add(name, value, unit);
    }

    /// Adds the figures and missed bounds of another run.
    pub fn extend(&mut self, other: Self) {
        self.figures.extend(other.figures);
        self.missed_bounds.extend(other.missed_bounds);
    }

    /// Returns the value of the first figure with this name, or `None` if there is none.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<f64> {
        let mut found = self.figures.iter().filter(|figure| figure.name == name);
        found.next().map(|figure| figure.value)
    }

    /// Prints the figures of one part of a bench and adds them, so that a long bench shows its progress.
    pub fn print_and_extend(&mut self, part: Self) {
        part.print();
        self.extend(part);
    }

    /// Prints one line for each figure to standard output.
    pub fn print(&self) {
        for figure in &self.figures {
            println!("{figure}");
        }
    }

    /// Prints which bounds were missed, if any, and returns whether all were held.
    #[must_use]
    pub fn print_bounds(&self) -> bool {
        if self.missed_bounds.is_empty() {
            println!("bound: held");
        } else {
            println!("bound: missed {}", self.missed_bounds.join(" "));
        }
        self.missed_bounds.is_empty()
    }
}
