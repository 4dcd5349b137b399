//! The operator's wish to stop a run, by SIGINT or SIGTERM.

use super::error::ScaleError;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};

/// Time between checks of the request while a run waits for something.
const POLL_EVERY: Duration = Duration::from_millis(20);

/// Whether the run is to stop.
#[derive(Clone, Debug, Default)]
pub struct StopRequest(Arc<AtomicBool>);

impl StopRequest {
    /// Heeds SIGINT and SIGTERM from now on, for as long as the process lives.
    pub fn on_signals() -> Result<StopRequest, ScaleError> {
        let request = StopRequest::default();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| ScaleError::failed("no runtime", error))?;
        let caught = {
            let _context = runtime.enter();
            signal(SignalKind::interrupt()).and_then(|first| Ok((first, signal(SignalKind::terminate())?)))
        };
        let (mut interrupt, mut terminate) =
            caught.map_err(|error| ScaleError::failed("no signals", error))?;
        let stopping = request.clone();
        std::thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = interrupt.recv() => {}
                    _ = terminate.recv() => {}
                }
            });
            stopping.stop();
        });
        Ok(request)
    }

    /// The run is to stop.
    pub fn stop(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// An error where the run is to stop.
    pub fn check(&self) -> Result<(), ScaleError> {
        if self.0.load(Ordering::SeqCst) { Err(ScaleError::Stopped) } else { Ok(()) }
    }

    /// Waits for so long, or until the run is to stop.
    pub fn pause(&self, time: Duration) -> Result<(), ScaleError> {
        self.pause_until(Instant::now() + time)
    }

    /// Waits until then, or until the run is to stop.
    pub fn pause_until(&self, end: Instant) -> Result<(), ScaleError> {
        loop {
            self.check()?;
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(POLL_EVERY));
        }
    }
}
