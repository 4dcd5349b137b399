//! The self-tuning regulator on known linear systems, and its laws.

use sedgerun_policy::regulator::{LeastSquares, PeriodSample, SelfTuningRegulator};

fn sample(latency: f64, sent: f64) -> PeriodSample {
    PeriodSample { responses: 50, latency, sent, served: sent, ceiling: 80.0, is_idle: false }
}

#[test]
fn least_squares_recovers_a_linear_system() {
    let (s1, r1, r2) = (0.4, 0.03, 0.01);
    let mut model = LeastSquares::default();
    let (mut latency, mut sent, mut sent_before) = (0.0, 0.0, 0.0);
    for k in 0..60u32 {
        let next = s1 * latency + r1 * sent + r2 * sent_before;
        if k > 1 {
            model.update([latency, sent, sent_before], next);
        }
        (latency, sent_before) = (next, sent);
        sent = 10.0 + f64::from(k * k % 7) + f64::from(k % 3);
    }
    for (found, true_value) in model.theta.iter().zip([s1, r1, r2]) {
        assert!((found - true_value).abs() < 1e-3, "{:?}", model.theta);
    }
}

#[test]
fn the_regulator_reaches_its_target_on_a_linear_system() {
    let mut regulator = SelfTuningRegulator::default();
    let (mut latency, mut sent_before) = (0.0, 0.0);
    for _ in 0..60 {
        let sent = regulator.rate;
        latency = 0.3 * latency + 0.02 * sent + 0.01 * sent_before;
        sent_before = sent;
        regulator.update(sample(latency, sent));
    }
    assert!((latency - 1.0).abs() < 0.05, "latency is {latency} of the target");
}

#[test]
fn anti_windup_keeps_the_rate_between_zero_and_the_ceiling() {
    let mut regulator = SelfTuningRegulator::default();
    let (mut latency, mut sent) = (0.0, 80.0);
    for k in 0..200u32 {
        latency = 0.3 * latency + 0.002 * f64::from(k % 40) * sent;
        regulator.update(sample(latency, sent));
        assert!((0.0..=80.0).contains(&regulator.rate), "{}", regulator.rate);
        sent = regulator.rate;
    }
}

#[test]
fn a_model_in_which_latency_falls_as_throughput_rises_is_discarded() {
    let mut regulator = SelfTuningRegulator::default();
    let (mut latency, mut sent_before) = (0.2, 20.0);
    for k in 0..12u32 {
        let sent = 20.0 + f64::from(k * k % 5);
        latency = 0.3 * latency + 0.02 * sent + 0.01 * sent_before;
        regulator.update(sample(latency, sent));
        sent_before = sent;
    }
    let kept = regulator.model.theta;
    assert!(kept[1] > 0.0);
    // The latency falls though the rate rises, which no real system does.
    regulator.update(sample(latency - 0.4, sent_before + 6.0));
    assert!(regulator.model.theta[1] >= 0.0, "{:?}", regulator.model.theta);
}

#[test]
fn a_regulator_with_few_responses_is_updated_after_a_few_periods() {
    let mut regulator = SelfTuningRegulator::default();
    for k in 0..8u32 {
        regulator.update(sample(0.5, 20.0 + f64::from(k * k % 5)));
    }
    let few = PeriodSample { responses: 3, ..sample(3.0, 20.0) };
    let rate = regulator.rate;
    regulator.update(few);
    regulator.update(few);
    assert_eq!(regulator.rate, rate, "the rate changed in spite of the conditional update law");
    regulator.update(few);
    assert_ne!(regulator.rate, rate, "the rate did not change in the third period");
}

/// With fewer than six responses, the model and the rate are kept; the rate of an idle backend becomes the
/// ceiling.
#[test]
fn few_responses_change_only_the_rate_of_an_idle_backend() {
    let mut regulator = SelfTuningRegulator::default();
    let busy = sample(0.5, 40.0);
    for k in 0..4 {
        regulator.update(PeriodSample { sent: 40.0 + f64::from(k), ..busy });
    }
    let (model, rate) = (regulator.model.clone(), regulator.rate);
    regulator.update(PeriodSample { responses: 5, latency: 9.0, ..busy });
    assert_eq!((regulator.model.theta, regulator.rate), (model.theta, rate));
    regulator.update(PeriodSample { responses: 0, sent: 0.0, ceiling: 30.0, is_idle: true, ..busy });
    assert_eq!((regulator.model.theta, regulator.rate), (model.theta, 30.0));
}

/// After a reset, the rate of a backend above its target is the rate it serves; otherwise it is the ceiling.
#[test]
fn a_reset_over_the_target_does_not_overload_the_backend() {
    let half_served =
        |latency, sent| PeriodSample { served: sent / 2.0, ceiling: 200.0, ..sample(latency, sent) };
    for (latency, rate) in [(4.0, 25.0), (0.9, 200.0)] {
        let mut regulator = SelfTuningRegulator::default();
        for k in 0..8 {
            regulator.update(half_served(0.2 + 0.01 * f64::from(k % 3), 20.0 + f64::from(k * k % 5)));
        }
        regulator.update(half_served(latency, 50.0));
        assert_eq!(regulator.rate, rate, "latency {latency}");
    }
}
