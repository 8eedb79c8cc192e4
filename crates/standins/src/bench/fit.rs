//! Linear regression of measured points.

use std::fmt;

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size that was varied.
    pub x: f64,
    /// The measured value.
    pub y: f64,
}

/// A fitted line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The value at 0.
    pub base: f64,
    /// The change of the value per unit of size.
    pub slope: f64,
    /// The largest absolute difference between a measured value and the line.
    pub residual: f64,
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { base, slope, residual } = self;
        write!(f, "base {base:.3}, slope {slope:.5}, residual {residual:.3}")
    }
}

/// Fits a line by least squares; the slope is 0 if all points have the same size.
pub fn fit(points: &[Point]) -> Fit {
    let n = points.len().max(1) as f64;
    let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.x), mean(|p| p.y));
    let covariance: f64 = points.iter().map(|p| (p.x - x) * (p.y - y)).sum();
    let variance: f64 = points.iter().map(|p| (p.x - x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let base = y - slope * x;
    let distance = |p: &Point| (p.y - base - slope * p.x).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max);
    Fit { base, slope, residual }
}
