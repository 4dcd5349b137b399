//! What an attempt is given: its deadline, and whom it tells how far it has got.

use crate::clock::Clock;
use sedgerun_dispatch::AttemptStage;
use sedgerun_policy::Micros;
use std::cell::Cell;
use std::rc::Rc;

/// The progress of an attempt, which its connection advances and the dispatch service reads. An attempt of which
/// nothing has been passed to a connection can be cancelled with the certainty that the backend never ran it.
#[derive(Clone)]
pub struct AttemptProgress {
    stage: Rc<Cell<AttemptStage>>,
    on_advance: Rc<dyn Fn(AttemptStage)>,
}

impl AttemptProgress {
    /// The progress of an attempt that has not begun; `on_advance` is called at each further stage.
    pub fn new(on_advance: impl Fn(AttemptStage) + 'static) -> AttemptProgress {
        AttemptProgress {
            stage: Rc::new(Cell::new(AttemptStage::Connecting)),
            on_advance: Rc::new(on_advance),
        }
    }

    /// Records that the attempt has reached a stage.
    pub fn advance(&self, stage: AttemptStage) {
        if self.stage.replace(stage) != stage {
            (self.on_advance)(stage);
        }
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
    /// The attempt's progress.
    pub progress: AttemptProgress,
}

impl AttemptContext {
    /// The time until the attempt times out, in microseconds.
    pub fn time_left(&self) -> Micros {
        self.deadline.saturating_sub(self.clock.now())
    }
}
