//! One measured quantity.

use serde::Serialize;

use super::fit::LineFit;

/// One quantity with its slope.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityRow {
    /// What was measured.
    pub name: &'static str,
    /// The unit.
    pub unit: &'static str,
    /// What it grows with.
    pub per: &'static str,
    /// The points.
    pub points: Vec<(f64, f64)>,
    /// The line through them.
    pub fit: LineFit,
    /// The size in two years.
    pub target: f64,
}

impl CapacityRow {
    pub(super) fn new(
        name: &'static str,
        unit: &'static str,
        per: &'static str,
        points: Vec<(f64, f64)>,
        target: f64,
    ) -> Self {
        let fit = LineFit::through(&points);
        Self {
            name,
            unit,
            per,
            points,
            fit,
            target,
        }
    }

    /// The row for the terminal.
    pub fn line(&self) -> String {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}:{y:.1}"))
            .collect();
        format!(
            "{:32} {:6} {:>10.2} + {:>9.4} x {:14} r2 {:.3}  at {:5.0}: {:10.1}   [{}]",
            self.name,
            self.unit,
            self.fit.base,
            self.fit.slope,
            self.per,
            self.fit.r2,
            self.target,
            self.fit.at(self.target),
            points.join(" ")
        )
    }
}
