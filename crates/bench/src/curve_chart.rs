use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Circle, Color, EmptyElement, IntoDrawingArea, IntoFont, LineSeries, Palette,
    Palette99, PathElement, SVGBackend, Text, WHITE,
};

/// The size of a drawing in pixels.
const SIZE_PIXELS: (u32, u32) = (900, 560);

/// The room beyond the largest value, so that labels stay inside.
const AXIS_HEADROOM_FACTOR: f64 = 1.12;

/// One named line of a chart.
#[derive(Clone, Debug, Default)]
pub struct CurveSeries {
    /// The name in the legend.
    pub name: String,
    /// The points in the order of the line.
    pub points: Vec<CurvePoint>,
}

/// One point of a chart.
#[derive(Clone, Debug, Default)]
pub struct CurvePoint {
    /// What is written beside the point, or nothing.
    pub label: String,
    /// The position on the horizontal axis.
    pub x: f64,
    /// The position on the vertical axis.
    pub y: f64,
}

/// A chart of lines, drawn as SVG.
#[derive(Clone, Debug)]
pub struct CurveChart {
    /// The title above.
    pub title: String,
    /// The name and unit of the horizontal axis.
    pub x_name: String,
    /// The name and unit of the vertical axis.
    pub y_name: String,
    /// The lines.
    pub series: Vec<CurveSeries>,
}

impl CurveChart {
    /// Draws the chart to a file.
    ///
    /// # Errors
    ///
    /// Returns what the plotting library said.
    pub fn draw(&self, path: &Path) -> Result<(), String> {
        self.try_draw(path).map_err(|error| error.to_string())
    }

    fn try_draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 20))
            .margin(16)
            .x_label_area_size(44)
            .y_label_area_size(64)
            .build_cartesian_2d(
                0.0..self.axis_end(|point| point.x),
                0.0..self.axis_end(|point| point.y),
            )?;
        chart
            .configure_mesh()
            .x_desc(&self.x_name)
            .y_desc(&self.y_name)
            .draw()?;
        for (index, series) in self.series.iter().enumerate() {
            let colour = Palette99::pick(index).mix(1.0);
            let points: Vec<_> = series
                .points
                .iter()
                .map(|point| (point.x, point.y))
                .collect();
            chart
                .draw_series(LineSeries::new(points, colour))?
                .label(&series.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
            chart.draw_series(series.points.iter().map(|point| {
                EmptyElement::at((point.x, point.y))
                    + Circle::new((0, 0), 4, colour.filled())
                    + Text::new(
                        point.label.clone(),
                        (6, -14),
                        ("sans-serif", 12).into_font(),
                    )
            }))?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(plotters::prelude::BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }

    fn axis_end(&self, coordinate: fn(&CurvePoint) -> f64) -> f64 {
        let points = self.series.iter().flat_map(|series| &series.points);
        points.map(coordinate).fold(0.0, f64::max) * AXIS_HEADROOM_FACTOR
    }
}
