//! Draw line plots as SVG.

use std::path::Path;

use eyre::eyre;
use plotters::chart::ChartBuilder;
use plotters::chart::SeriesLabelPosition;
use plotters::prelude::BLACK;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoLogRange;
use plotters::prelude::PathElement;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;
use plotters::series::LineSeries;

/// The size of a plot, in pixels.
const SIZE_PX: (u32, u32) = (760, 420);

/// The colours of the first four lines, which can be told apart in print and by colour-blind
/// readers (Okabe and Ito). Further lines are not drawn.
const COLOURS: [RGBColor; 4] = [
    RGBColor(213, 94, 0),
    RGBColor(86, 180, 233),
    RGBColor(0, 158, 115),
    RGBColor(0, 0, 0),
];

/// A line of a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// The name in the legend.
    pub name: String,
    /// The x and y values, in the order in which they are connected.
    pub points: Vec<(f64, f64)>,
}

/// The texts of a plot.
#[derive(Clone, Copy, Debug)]
pub struct Labels<'a> {
    /// The caption above the plot.
    pub caption: &'a str,
    /// The description of the horizontal axis.
    pub x: &'a str,
    /// The description of the vertical axis.
    pub y: &'a str,
}

/// Draw lines with a logarithmic vertical axis as an SVG file. Points without a positive y value
/// are left out.
///
/// # Errors
///
/// Return an error when there is no positive value or the file can't be written.
pub fn draw(path: &Path, labels: Labels<'_>, series: &[Series]) -> eyre::Result<()> {
    let points = || series.iter().flat_map(|line| &line.points);
    let x_min = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let x_max = points()
        .map(|point| point.0)
        .fold(f64::NEG_INFINITY, f64::max);
    let positive = || points().map(|point| point.1).filter(|y| *y > 0.0);
    let y_min = positive().fold(f64::INFINITY, f64::min);
    let y_max = positive().fold(f64::NEG_INFINITY, f64::max);
    if !(y_min.is_finite() && x_min.is_finite()) {
        return Err(eyre!("nothing to draw in {}", path.display()));
    }
    let draw_error =
        |error: &dyn std::fmt::Display| eyre!("cannot draw {}: {error}", path.display());
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(|error| draw_error(&error))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(labels.caption, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(x_min..x_max, (y_min * 0.8..y_max * 1.25).log_scale())
        .map_err(|error| draw_error(&error))?;
    chart
        .configure_mesh()
        .x_desc(labels.x)
        .y_desc(labels.y)
        .draw()
        .map_err(|error| draw_error(&error))?;
    for (line, colour) in series.iter().zip(COLOURS) {
        let points = line.points.iter().copied().filter(|point| point.1 > 0.0);
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .map_err(|error| draw_error(&error))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|error| draw_error(&error))?;
    root.present().map_err(|error| draw_error(&error))
}
