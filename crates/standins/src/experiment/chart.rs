//! SVG line charts for experiments.

use std::path::Path;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, GREEN, IntoDrawingArea as _, LineSeries, RED, RGBColor, SVGBackend,
    WHITE,
};

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 400);
/// Colours of the lines, in order; the caption names them.
const COLOURS: [RGBColor; 4] = [BLUE, GREEN, RED, BLACK];

/// One line of a chart.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name of the line in the caption.
    pub name: &'static str,
    /// Points of the line as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// Draws up to four lines into an SVG file; fails if the file cannot be written.
pub fn draw_lines(path: &Path, lines: &[Series]) -> anyhow::Result<()> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let right = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = points().map(|(_, y)| *y).fold(1.0, f64::max);
    let names: Vec<&str> = lines.iter().map(|line| line.name).collect();
    let area = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .caption(names.join(" (blue, green, red, black), "), ("sans-serif", 16))
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().draw()?;
    for (line, colour) in lines.iter().zip(COLOURS) {
        chart.draw_series(LineSeries::new(line.points.iter().copied(), &colour))?;
    }
    area.present()?;
    Ok(())
}
