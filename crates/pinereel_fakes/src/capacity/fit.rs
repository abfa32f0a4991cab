//! Straight lines through measured points.

use serde::Serialize;

/// A straight line by least squares: `base + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Value at zero.
    pub base: f64,
    /// Growth a unit of `x`.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub residual: f64,
}

impl Fit {
    /// The line through `points`, which must differ in `x` unless there is only one: then the line
    /// is flat.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let common: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { common / spread } else { 0.0 };
        let mut fit = Self {
            base: mean_y - slope * mean_x,
            slope,
            residual: 0.0,
        };
        let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let off = points.iter().map(|(x, y)| (y - fit.at(*x)).abs());
        if largest > 0.0 {
            fit.residual = off.fold(0.0, f64::max) / largest;
        }
        fit
    }

    /// Value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// One measured quantity against what it grows with.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// Its name, which the extrapolation refers to.
    pub name: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// What `x` counts.
    pub per: &'static str,
    /// The line.
    pub fit: Fit,
    /// The measured points.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// The line through `points`.
    pub fn of(
        name: &'static str,
        unit: &'static str,
        per: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        Self {
            name,
            unit,
            per,
            fit: Fit::of(&points),
            points,
        }
    }

    /// Value at `x`. Beyond the last point a falling line is not followed: nothing measured here
    /// gets cheaper with size, so the fall is noise.
    pub fn at(&self, x: f64) -> f64 {
        let last = self.points.iter().map(|(x, _)| *x).fold(0.0, f64::max);
        if self.fit.slope < 0.0 && x > last {
            return self.fit.at(last);
        }
        self.fit.at(x)
    }
}
