//! Wakes the dispatcher when its next timer is due.

use super::DispatchService;
use sedgerun_policy::Micros;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The one wake-up call, set for the dispatcher's next timer.
pub(super) struct TimerWakeup {
    /// When the task of timers wakes by itself; the end of time: never.
    wakes_at: Cell<Micros>,
    rescheduled: Notify,
}

impl Default for TimerWakeup {
    fn default() -> TimerWakeup {
        TimerWakeup { wakes_at: Cell::new(Micros::MAX), rescheduled: Notify::new() }
    }
}

impl TimerWakeup {
    /// Has the task of timers look again where the next timer is earlier than the timer_wakeup.
    pub fn wake_if_earlier(&self, next_timer: Option<Micros>) {
        if next_timer.is_some_and(|due| due < self.wakes_at.get()) {
            self.rescheduled.notify_one();
        }
    }
}

impl DispatchService {
    /// Runs the dispatcher's timers for as long as the program runs.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next_timer = self.dispatcher.borrow().next_timer();
            self.timer_wakeup.wakes_at.set(next_timer.unwrap_or(Micros::MAX));
            let Some(due) = next_timer else {
                self.timer_wakeup.rescheduled.notified().await;
                continue;
            };
            let sleep = tokio::time::sleep_until(self.clock.instant(due).into());
            tokio::select! {
                () = sleep => {
                    let now = self.clock.now();
                    self.with_dispatcher(|dispatcher| dispatcher.run_expired_timers(now));
                }
                () = self.timer_wakeup.rescheduled.notified() => {}
            }
        }
    }
}
