//! Linear regression over measured points.

use std::fmt;

/// A line fitted by least squares.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    /// Increase of the measured value per unit.
    pub slope: f64,
    /// Fitted value at zero units.
    pub intercept: f64,
    /// Coefficient of determination: the share of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
    /// Smallest and largest number of units among the points.
    pub range: (f64, f64),
}

impl Line {
    /// Fits a line to points of units and measured values. Returns `None` when fewer than two numbers of units differ.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let sum = |product: fn(f64, f64) -> f64| -> f64 {
            points.iter().map(|(x, y)| product(x - mean_x, y - mean_y)).sum()
        };
        let (xx, xy, yy) = (sum(|x, _| x * x), sum(|x, y| x * y), sum(|_, y| y * y));
        if points.len() < 2 || xx == 0.0 {
            return None;
        }
        let units = points.iter().map(|point| point.0);
        Some(Self {
            slope: xy / xx,
            intercept: mean_y - xy / xx * mean_x,
            r_squared: if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) },
            range: (
                units.clone().fold(f64::INFINITY, f64::min),
                units.fold(f64::NEG_INFINITY, f64::max),
            ),
        })
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            slope,
            intercept,
            r_squared,
            range,
        } = self;
        write!(
            f,
            "{slope:.4} each + {intercept:.2}, r2 {r_squared:.3}, measured from {} to {}",
            range.0, range.1
        )
    }
}
