//! The account over time, as a picture.

use std::path::Path;

use plotters::prelude::*;

use super::table::count;
use super::{EndCounts, RequestAccount, RequestEnd};

const SIZE: (u32, u32) = (960, 480);

/// Draws requests in time, late, and refused or lost for each second into an SVG file.
///
/// # Errors
/// When the file cannot be written.
pub fn plot(account: &RequestAccount, path: &Path) -> anyhow::Result<()> {
    type Part = fn(&EndCounts) -> u64;
    let late: Part = |counts| {
        let late = counts.iter().filter(|(end, _)| end.is_late());
        late.map(|(_, count)| count).sum()
    };
    let gone: Part = |counts| count(counts, RequestEnd::Refused) + count(counts, RequestEnd::Lost);
    let lines: [(&str, Part, RGBColor); 3] = [
        ("in time", |counts| count(counts, RequestEnd::InTime), BLUE),
        ("late", late, MAGENTA),
        ("refused or lost", gone, RED),
    ];
    let last = account.seconds.keys().max().copied().unwrap_or_default();
    let all = account
        .seconds
        .values()
        .map(|counts| counts.values().sum::<u64>());
    let most = all.max().unwrap_or(1).max(1);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("requests by second", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0..last + 1, 0..most)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("requests")
        .draw()?;
    for (name, part, color) in lines {
        let points = (0..=last).map(|second| {
            let counts = account.seconds.get(&second);
            (second, counts.map_or(0, part))
        });
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
