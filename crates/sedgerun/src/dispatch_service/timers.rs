//! Runs the dispatcher's timers when they expire.

use super::DispatchService;
use sedgerun_policy::Micros;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The wake-up time of the timer task, which follows the dispatcher's earliest timer.
pub(super) struct TimerWakeup {
    /// When the timer task wakes up; `Micros::MAX` if no timer is set.
    wakes_at: Cell<Micros>,
    rescheduled: Notify,
}

impl Default for TimerWakeup {
    fn default() -> TimerWakeup {
        TimerWakeup { wakes_at: Cell::new(Micros::MAX), rescheduled: Notify::new() }
    }
}

impl TimerWakeup {
    /// Makes the timer task reschedule its wake-up if the next timer expires earlier.
    pub fn wake_if_earlier(&self, next_timer: Option<Micros>) {
        if next_timer.is_some_and(|expiry| expiry < self.wakes_at.get()) {
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
            let Some(expiry) = next_timer else {
                self.timer_wakeup.rescheduled.notified().await;
                continue;
            };
            let sleep = tokio::time::sleep_until(self.clock.instant(expiry).into());
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
