//! Linear fits of measured points.

use serde::Serialize;

/// A line fitted by least squares: `base + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Value at `x = 0`.
    pub base: f64,
    /// Increase per unit of `x`.
    pub slope: f64,
    /// Maximum distance of a point from the line, relative to the maximum absolute value of a point.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to `points`. The line is flat if all points have the same `x`.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let mut fit = Self {
            base: mean_y - slope * mean_x,
            slope,
            residual: 0.0,
        };
        let max_abs_y = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let distances = points.iter().map(|(x, y)| (y - fit.at(*x)).abs());
        if max_abs_y > 0.0 {
            fit.residual = distances.fold(0.0, f64::max) / max_abs_y;
        }
        fit
    }

    /// Value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// A measured quantity as a function of what it grows with.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measurement {
    /// Name, by which the extrapolation refers to the measurement.
    pub name: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// What `x` counts, in the singular.
    pub per: &'static str,
    /// Line fitted to the points.
    pub fit: Fit,
    /// Measured points, as `(x, value)`.
    pub points: Vec<(f64, f64)>,
}

impl Measurement {
    /// Fits a line to `points`.
    pub fn new(
        name: &'static str,
        unit: &'static str,
        per: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        Self {
            name,
            unit,
            per,
            fit: Fit::new(&points),
            points,
        }
    }

    /// Value of the fitted line at `x`. A falling line is not extrapolated beyond the maximum `x` of
    /// the points: no quantity measured here decreases with size, so a negative slope is noise.
    pub fn at(&self, x: f64) -> f64 {
        let max_x = self.points.iter().map(|(x, _)| *x).fold(0.0, f64::max);
        if self.fit.slope < 0.0 && x > max_x {
            return self.fit.at(max_x);
        }
        self.fit.at(x)
    }
}
