use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Circle, Color, EmptyElement, IntoDrawingArea, IntoFont, LineSeries, Palette,
    Palette99, PathElement, SVGBackend, Text, WHITE,
};

/// The width and height of a chart in pixels.
const SIZE_PIXELS: (u32, u32) = (900, 560);

/// The length of an axis relative to its largest value, so that the labels of points stay inside the chart.
const AXIS_HEADROOM_FACTOR: f64 = 1.12;

/// A named line of a chart.
#[derive(Clone, Debug, Default)]
pub struct CurveSeries {
    /// The name in the legend.
    pub name: String,
    /// The points in the order in which they are connected.
    pub points: Vec<CurvePoint>,
}

/// A point of a chart.
#[derive(Clone, Debug, Default)]
pub struct CurvePoint {
    /// The text beside the point; may be empty.
    pub label: String,
    /// The position on the horizontal axis.
    pub x: f64,
    /// The position on the vertical axis.
    pub y: f64,
}

/// A chart of lines, drawn as SVG.
#[derive(Clone, Debug)]
pub struct CurveChart {
    /// The title above the chart.
    pub title: String,
    /// The name and unit of the horizontal axis.
    pub x_name: String,
    /// The name and unit of the vertical axis.
    pub y_name: String,
    /// The lines, in the order of the legend.
    pub series: Vec<CurveSeries>,
}

impl CurveChart {
    /// Draws the chart to a file.
    ///
    /// # Errors
    ///
    /// Returns the message of the plotting library.
    pub fn draw(&self, path: &Path) -> Result<(), String> {
        self.try_draw(path).map_err(|error| error.to_string())
    }

    /// Draws the axes, each line with its labelled points, and the legend.
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
