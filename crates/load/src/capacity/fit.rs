//! Least squares.

use serde::Serialize;

/// `y = base + slope * x`.
#[derive(Clone, Copy, PartialEq, Debug, Serialize)]
pub struct LineFit {
    /// At zero.
    pub base: f64,
    /// For each one more.
    pub slope: f64,
    /// Share of the variance that the line explains.
    pub r2: f64,
}

impl LineFit {
    /// The line through points.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let xy: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let yy: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        Self {
            base: mean_y - slope * mean_x,
            slope,
            r2: if yy > 0.0 {
                (slope * xy / yy).min(1.0)
            } else {
                1.0
            },
        }
    }

    /// The line's value.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
