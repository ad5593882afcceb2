/// A straight line fitted to measured points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// The value at x = 0.
    pub intercept: f64,
    /// The largest vertical distance of a point from the line.
    pub max_residual: f64,
    /// The change of the value per unit of x.
    pub slope: f64,
}

impl LinearFit {
    /// Fits a line to points (x, value), of which at least two must differ in x; the line is NaN otherwise.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a handful of points")]
    pub fn of(points: &[[f64; 2]]) -> Self {
        let count = points.len() as f64;
        let mean = |axis: usize| points.iter().map(|point| point[axis]).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(0), mean(1));
        let square: f64 = points.iter().map(|[x, _]| (x - mean_x).powi(2)).sum();
        let product: f64 = points
            .iter()
            .map(|[x, y]| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = product / square;
        let intercept = mean_y - slope * mean_x;
        let distance = |[x, y]: &[f64; 2]| (y - intercept - slope * x).abs();
        Self {
            intercept,
            max_residual: points.iter().map(distance).fold(0.0, f64::max),
            slope,
        }
    }

    /// Returns the line's value at `x`.
    #[must_use]
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
