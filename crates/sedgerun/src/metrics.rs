//! The metrics that operators read with `show-stat`, in the text exposition format of Prometheus
//! (`name{label="value"} count`, one a line). Counts run from the start of the process. The names of metrics and
//! labels are read by operators' tools.

use crate::event_loop::EventLoopMonitor;
use sedgerun_cluster::traffic::Traffic;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::sync::Arc;

/// How a request ended, as the metrics count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationStatus {
    /// Served.
    Fulfilled,
    /// Rejected: 429 or 503.
    Throttled,
    /// Failed.
    Faulted,
    /// An attempt that was forwarded to a backend completely; no end of a request.
    Relayed,
}

/// The statuses in the order of their output, with their label.
const STATUSES: [(OperationStatus, &str); 4] = [
    (OperationStatus::Fulfilled, "fulfilled"),
    (OperationStatus::Throttled, "throttled"),
    (OperationStatus::Faulted, "faulted"),
    (OperationStatus::Relayed, "relayed"),
];

/// Counts by class and status.
#[derive(Debug, Default)]
pub struct Metrics {
    /// By the index of the class, then by status.
    counts: RefCell<Vec<[Cell<u64>; STATUSES.len()]>>,
    /// The traffic with discovery.
    pub discovery: Arc<Traffic>,
    /// The stalls of the event loop.
    pub event_loop: EventLoopMonitor,
    /// Attempts that were called off before they began.
    attempts_called_off: Cell<u64>,
}

impl Metrics {
    /// Counts one more for a class, by its index.
    pub fn count(&self, class: usize, status: OperationStatus) {
        let mut counts = self.counts.borrow_mut();
        if counts.len() <= class {
            counts.resize_with(class + 1, Default::default);
        }
        let count = &counts[class][status as usize];
        count.set(count.get() + 1);
    }

    /// Counts one more attempt that was called off before it began.
    pub fn count_called_off(&self) {
        self.attempts_called_off.set(self.attempts_called_off.get() + 1);
    }

    /// The attempts that were called off before they began.
    pub fn attempts_called_off(&self) -> u64 {
        self.attempts_called_off.get()
    }

    /// A count, for tests and reports.
    pub fn get(&self, class: usize, status: OperationStatus) -> u64 {
        self.counts.borrow().get(class).map_or(0, |counts| counts[status as usize].get())
    }

    /// All metrics as lines, the classes by their names; `gauges` are (name, value) pairs.
    pub fn render(&self, classes: &[String], gauges: &[(&str, u64)]) -> String {
        let mut text = String::new();
        for (index, class) in classes.iter().enumerate() {
            let class = escape_label(class);
            for (status, name) in STATUSES {
                let count = self.get(index, status);
                let _ = writeln!(text, "app_operations{{priority=\"{class}\",status=\"{name}\"}} {count}");
            }
        }
        for (name, value) in gauges {
            let _ = writeln!(text, "app_{name} {value}");
        }
        text
    }
}

/// A label's value as the exposition format writes it.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
