use std::{collections::BTreeMap, fmt::Write};

/// The figures that a bench printed, by name.
#[derive(Clone, Debug, Default)]
pub struct FigureFile {
    figures: BTreeMap<String, PrintedFigure>,
}

#[derive(Clone, Debug)]
struct PrintedFigure {
    unit: String,
    value: f64,
}

impl FigureFile {
    /// Parses the `name value unit` lines of a bench's output and ignores all other lines.
    #[must_use]
    pub fn parse(output: &str) -> Self {
        let figures = output.lines().filter_map(|line| {
            let mut fields = line.split(' ');
            let (name, value, unit) = (fields.next()?, fields.next()?, fields.next()?);
            let value = value.parse().ok()?;
            let unit = unit.to_owned();
            Some((name.to_owned(), PrintedFigure { unit, value }))
        });
        Self {
            figures: figures.collect(),
        }
    }

    /// Returns the figures as CSV with a header line.
    #[must_use]
    pub fn csv(&self) -> String {
        let mut csv = String::from("name,value,unit\n");
        for (name, figure) in &self.figures {
            writeln!(csv, "{name},{},{}", figure.value, figure.unit)
                .expect("a string can be written to");
        }
        csv
    }

    /// Returns whether there is no figure.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.figures.is_empty()
    }

    /// Returns the values of the figures whose names have this prefix and suffix, each with the part of the name
    /// between them.
    pub fn matching<'file>(
        &'file self,
        prefix: &'file str,
        suffix: &'file str,
    ) -> impl Iterator<Item = (&'file str, f64)> {
        self.figures.iter().filter_map(move |(name, figure)| {
            let middle = name.strip_prefix(prefix)?.strip_suffix(suffix)?;
            Some((middle, figure.value))
        })
    }

    /// Returns the value of a figure, or `None` if the bench did not print it.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<f64> {
        self.figures.get(name).map(|figure| figure.value)
    }
}
