//! What an attempt is given: its times, and whom it tells how far it has got.

use super::begin_check::BeginCheck;
use crate::clock::Clock;
use sedgerun_dispatch::AttemptStage;
use sedgerun_policy::{AttemptEnd, Micros};
use std::cell::Cell;
use std::rc::Rc;

/// What an attempt reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// It has reached a further stage.
    Advanced(AttemptStage),
    /// A response that is passed on has progressed.
    TransferProgressed,
    /// A response that was passed on has ended.
    TransferEnded(AttemptEnd),
}

/// The progress of an attempt, which its connection advances and the dispatch service reads.
#[derive(Clone)]
pub struct AttemptProgress {
    stage: Rc<Cell<AttemptStage>>,
    on_report: Rc<dyn Fn(AttemptReport)>,
}

impl AttemptProgress {
    /// The progress of an attempt that has not begun; `on_report` is called at each further stage, and with the
    /// progress and the end of a response that is passed on.
    pub fn new(on_report: impl Fn(AttemptReport) + 'static) -> AttemptProgress {
        AttemptProgress { stage: Rc::new(Cell::new(AttemptStage::Connecting)), on_report: Rc::new(on_report) }
    }

    /// Records that the attempt has reached a stage.
    pub fn advance(&self, stage: AttemptStage) {
        if self.stage.replace(stage) != stage {
            (self.on_report)(AttemptReport::Advanced(stage));
        }
    }

    pub(super) fn report(&self, report: AttemptReport) {
        (self.on_report)(report);
    }

    /// Whether any part of the attempt may have been passed to a connection.
    pub fn is_started(&self) -> bool {
        self.stage.get() != AttemptStage::Connecting
    }
}

/// What an attempt is given beside its request.
#[derive(Clone)]
pub struct AttemptContext {
    /// The program's clock.
    pub clock: Clock,
    /// When the attempt times out, by that clock.
    pub deadline: Micros,
    /// When the client must have its response, or the beginning of one that is passed on, by that clock.
    pub respond_by: Micros,
    /// Whether the attempt may begin, asked right before the last byte of its request is written.
    pub begin_check: BeginCheck,
    /// The attempt's progress.
    pub progress: AttemptProgress,
}

impl AttemptContext {
    /// The time until the attempt times out, in microseconds.
    pub fn time_left(&self) -> Micros {
        self.deadline.saturating_sub(self.clock.now())
    }
}
