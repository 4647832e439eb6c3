//! Least-squares fit of a measured quantity over the sizes at which it was measured.

use nalgebra::{DMatrix, DVector};
use serde::Serialize;

const EPSILON: f64 = 1e-9;

/// A linear fit: the sum of each coefficient times its term.
#[derive(Clone, Debug, Serialize)]
pub struct Fit {
    /// What the coefficients multiply; the first one is the constant 1.
    pub terms: Box<[Box<str>]>,
    /// The coefficients, in the order of the terms.
    pub coefficients: Box<[f64]>,
    /// Measured less fitted, for each point.
    pub residuals: Box<[f64]>,
}

impl Fit {
    /// Fits `values` over `rows`, each of which holds the values of `terms` at one point.
    pub fn new(terms: &[&str], rows: &[Vec<f64>], values: &[f64]) -> Self {
        let matrix = DMatrix::from_fn(rows.len(), terms.len(), |row, column| rows[row][column]);
        let vector = DVector::from_column_slice(values);
        let solved = matrix.clone().svd(true, true).solve(&vector, EPSILON);
        let solution = solved.unwrap_or_else(|_| DVector::zeros(terms.len()));
        let residuals = &vector - &matrix * &solution;
        Self {
            terms: terms.iter().map(|term| (*term).into()).collect(),
            coefficients: solution.iter().copied().collect(),
            residuals: residuals.iter().copied().collect(),
        }
    }

    /// The fitted value at `row`.
    pub fn at(&self, row: &[f64]) -> f64 {
        self.coefficients.iter().zip(row).map(|(coefficient, value)| coefficient * value).sum()
    }

    /// The largest residual, without its sign.
    pub fn worst(&self) -> f64 {
        self.residuals.iter().fold(0.0, |worst: f64, residual| worst.max(residual.abs()))
    }
}
