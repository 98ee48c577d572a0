//! A plot of the percentiles.

use std::path::Path;

use plotters::prelude::*;

use super::report::TrafficReport;

const SIZE: (u32, u32) = (800, 480);

/// Draws both curves into an SVG file.
///
/// # Errors
/// When the file cannot be written.
pub fn plot(report: &TrafficReport, path: &Path) -> anyhow::Result<()> {
    let curves = [
        ("first token", &report.first_token.curve, BLUE),
        ("between tokens", &report.between_tokens.curve, RED),
    ];
    let most = curves
        .iter()
        .flat_map(|(_, curve, _)| curve.iter())
        .map(|(_, micros)| *micros as f64 / 1e3)
        .fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("milliseconds by percentile", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..100.0, 0.0..most * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("percentile")
        .y_desc("ms")
        .draw()?;
    for (name, curve, color) in curves {
        let points = curve.iter().map(|(x, micros)| (*x, *micros as f64 / 1e3));
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
