//! The text of the metrics.

use sedgerun::metrics::{Metrics, OperationStatus};

#[test]
fn counts_are_printed_by_class_and_status() {
    let metrics = Metrics::default();
    metrics.count(1, OperationStatus::Fulfilled);
    metrics.count(1, OperationStatus::Fulfilled);
    metrics.count(0, OperationStatus::Relayed);
    let text = metrics.render(&["a".into(), "b\"".into()], &[("open_requests", 3)]);
    assert!(text.contains("app_operations{priority=\"b\\\"\",status=\"fulfilled\"} 2\n"), "{text}");
    assert!(text.contains("app_operations{priority=\"a\",status=\"relayed\"} 1\n"), "{text}");
    assert!(text.contains("app_operations{priority=\"a\",status=\"faulted\"} 0\n"), "{text}");
    assert!(text.ends_with("app_open_requests 3\n"), "{text}");
}
