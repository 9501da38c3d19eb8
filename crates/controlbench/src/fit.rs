//! Polynomials through three measured points.

/// Coefficients of `constant + linear * n + quadratic * n²`.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// Cost that does not depend on the size.
    pub constant: f64,
    /// Cost for each unit of the size.
    pub linear: f64,
    /// Cost for each pair of units.
    pub quadratic: f64,
}

impl Fit {
    /// Fit through three points of different sizes.
    pub fn through(points: [(f64, f64); 3]) -> Fit {
        let [(x0, y0), (x1, y1), (x2, y2)] = points;
        let first = (y1 - y0) / (x1 - x0);
        let second = (y2 - y1) / (x2 - x1);
        let quadratic = (second - first) / (x2 - x0);
        let linear = first - quadratic * (x0 + x1);
        Fit {
            constant: y0 - linear * x0 - quadratic * x0 * x0,
            linear,
            quadratic,
        }
    }

    /// Share of the quadratic term in the cost at size `n`.
    pub fn quadratic_share(&self, n: f64) -> f64 {
        let quadratic = self.quadratic * n * n;
        quadratic / (self.constant + self.linear * n + quadratic)
    }
}
