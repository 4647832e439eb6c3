//! Plot of skews over time as SVG.

use std::path::Path;

use plotters::prelude::*;

use crate::error::Error;
use crate::measure::drift::report;

const WIDTH: u32 = 1200;
const ROW_HEIGHT: u32 = 260;
/// Largest skew in the plot.
const MAX_SKEW: f64 = 1.0;
const COLORS: [RGBColor; 5] = [
    RGBColor(160, 160, 160),
    RGBColor(230, 120, 40),
    RGBColor(170, 60, 160),
    RGBColor(30, 110, 200),
    RGBColor(40, 160, 90),
];

/// Writes one plot for each trace to `path`.
///
/// # Errors
///
/// [`Error::Step`] if the file cannot be drawn or written.
pub fn write(path: &Path, reports: &[report::Report]) -> Result<(), Error> {
    draw(path, reports).map_err(|e| Error::step("plot", e))
}

fn draw(path: &Path, reports: &[report::Report]) -> Result<(), Box<dyn std::error::Error>> {
    let height = ROW_HEIGHT * reports.len() as u32;
    let root = SVGBackend::new(path, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, report) in root.split_evenly((reports.len(), 1)).iter().zip(reports) {
        draw_trace(area, report)?;
    }
    root.present()?;
    Ok(())
}

fn draw_trace(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    report: &report::Report,
) -> Result<(), Box<dyn std::error::Error>> {
    let times = report.methods.iter().flat_map(|m| &m.skews).map(|s| s.0);
    let end = times.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(report.trace.name(), ("sans-serif", 18))
        .margin(6)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 0.0..MAX_SKEW)?;
    chart.configure_mesh().x_desc("seconds").y_desc("skew").draw()?;
    for (result, color) in report.methods.iter().zip(COLORS) {
        let points = result.skews.iter().map(|&(at, skew)| (at, skew.min(MAX_SKEW)));
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(result.method.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}
