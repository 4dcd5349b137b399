//! The statistics of experiments, against textbook values.

use sedgerun_testbed::experiment::{Summary, difference};

#[test]
fn confidence_intervals_follow_students_t_distribution() {
    // Textbook: n = 5, mean 3, s^2 = 2.5, t(4) = 2.776.
    let summary = Summary::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert_eq!((summary.mean, summary.least, summary.most), (3.0, 1.0, 5.0));
    assert!((summary.half - 2.776 * (2.5f64 / 5.0).sqrt()).abs() < 1e-3);
    let (apart, half) = difference(&summary, &Summary::of(&[11.0, 12.0, 13.0, 14.0, 15.0]));
    assert!((apart - 10.0).abs() < 1e-9 && (half - 2.306).abs() < 1e-2, "{apart} {half}");
    assert_eq!(Summary::of(&[]).mean, 0.0);
    assert_eq!(Summary::of(&[2.0]).half, 0.0);
}
