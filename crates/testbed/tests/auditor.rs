//! The auditor: a clean request breaks no rule, and each rule that breaks is named.

use sedgerun_policy::{BackendId, Readiness};
use sedgerun_testbed::auditor::{AnswerKind, Auditor, ExecutionProof, Rule};

const BACKEND: BackendId = BackendId(7);

fn auditor() -> Auditor {
    Auditor::new(0, 250_000, vec![4.0, 1.0])
}

fn broken_rules(audit: impl FnOnce(&mut Auditor)) -> Vec<Rule> {
    let mut auditor = auditor();
    auditor.request_accepted(1, 0, 1_000_000, false);
    audit(&mut auditor);
    auditor.finish(2_000_000);
    auditor.breaches.keys().copied().collect()
}

#[test]
fn a_clean_request_is_clean_and_a_write_may_go_out_again_with_proof() {
    let clean = broken_rules(|auditor| {
        auditor.attempt_sent(10, 1, 100, BACKEND);
        auditor.attempt_ended(1, 100, ExecutionProof::NeverRan);
        auditor.attempt_sent(20, 1, 101, BACKEND);
        auditor.attempt_ended(1, 101, ExecutionProof::MayHaveRun);
        auditor.answered(30, 1, AnswerKind::Served(1));
    });
    assert_eq!(clean, []);
}

#[test]
fn each_rule_is_caught() {
    let answer = |auditor: &mut Auditor, now| auditor.answered(now, 1, AnswerKind::NotServed);
    assert_eq!(broken_rules(|auditor| (0..2).for_each(|_| answer(auditor, 5))), [Rule::TwoAnswers]);
    assert_eq!(broken_rules(|_| ()), [Rule::NoAnswer]);
    assert_eq!(broken_rules(|auditor| answer(auditor, 1_100_000)), [Rule::NoAnswer]);
    assert_eq!(broken_rules(|auditor| auditor.excuse(1)), []);
    assert_eq!(
        broken_rules(|auditor| {
            auditor.attempt_sent(10, 1, 100, BACKEND);
            auditor.attempt_sent(11, 1, 101, BACKEND);
            answer(auditor, 20);
        }),
        [Rule::TwoAttempts]
    );
    assert_eq!(
        broken_rules(|auditor| {
            auditor.attempt_sent(10, 1, 100, BACKEND);
            auditor.attempt_ended(1, 100, ExecutionProof::MayHaveRun);
            auditor.attempt_sent(20, 1, 101, BACKEND);
            answer(auditor, 30);
        }),
        [Rule::WriteAgain]
    );
    assert_eq!(
        broken_rules(|auditor| {
            (10..12).for_each(|now| auditor.request_begun(now, 1));
            answer(auditor, 30);
        }),
        [Rule::WriteAgain]
    );
    let drained = |at| {
        broken_rules(|auditor: &mut Auditor| {
            auditor.head_notified(10, 0, BACKEND, Readiness::Draining);
            auditor.head_notified(200_000, 0, BACKEND, Readiness::Removed);
            auditor.attempt_sent(at, 1, 100, BACKEND);
            answer(auditor, 300_000);
        })
    };
    assert_eq!((drained(250_010), drained(250_011)), (vec![], vec![Rule::AfterDrain]));
    assert_eq!(
        broken_rules(|auditor| {
            auditor.backend_failed(10, BACKEND);
            auditor.backend_failed(20, BACKEND);
            answer(auditor, 30);
        }),
        [Rule::Overloaded]
    );
    assert_eq!(broken_rules(|auditor| auditor.answered(10, 1, AnswerKind::Served(2))), [Rule::CorruptAnswer]);
    let shares = |mine, others| {
        broken_rules(|auditor: &mut Auditor| {
            (0..20).for_each(|i| auditor.count_usage(10, 0, 3, 1.0, i < mine));
            (0..others).for_each(|_| auditor.count_usage(10, 1, 3, 1.0, true));
            (0..100).for_each(|_| auditor.count_usage(10, 1, 4, 1.0, true));
            answer(auditor, 30);
        })
    };
    assert_eq!(shares(5, 100), [Rule::UnderReservation]);
    assert_eq!((shares(5, 10), shares(15, 100)), (vec![], vec![]), "nobody had more, or it had enough");
}
