//! The line fitted through measured points.

use slopes::slope::{Fit, Slope};

fn slope(points: &[(f64, f64)]) -> Slope {
    let mut slope = Slope::new("choice", "us", "endpoints", 100.0);
    points.iter().for_each(|(x, y)| slope.add(*x, *y));
    slope
}

#[test]
fn points_on_a_line_have_no_residual() {
    let slope = slope(&[(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)]);
    let Fit { a, b, residual } = slope.fit();
    assert!((a - 3.0).abs() < 1e-9 && (b - 2.0).abs() < 1e-9 && residual < 1e-9);
    assert!((slope.projection() - 203.0).abs() < 1e-9);
}

#[test]
fn points_off_the_line_give_a_residual() {
    let slope = slope(&[(0.0, 1.0), (1.0, -1.0), (2.0, -1.0), (3.0, 1.0)]);
    let fit = slope.fit();
    assert!(fit.a.abs() < 1e-9 && fit.b.abs() < 1e-9);
    assert!((fit.residual - 1.0).abs() < 1e-9);
}

#[test]
fn a_single_size_gives_a_constant() {
    let fit = slope(&[(4.0, 9.0), (4.0, 9.0)]).fit();
    assert_eq!((fit.a, fit.b), (9.0, 0.0));
}

#[test]
fn a_row_contains_sizes_fit_and_projection() {
    let row = slope(&[(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)]).to_string();
    assert!(row.starts_with("| choice | us | endpoints | 1: 5.0000, 2: 7.0000, 10: 23.0000 |"));
    assert!(row.ends_with("| 100 | 203.000 |"), "{row}");
}
