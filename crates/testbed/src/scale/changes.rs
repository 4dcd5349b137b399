//! Changes of the fleet's store, made by the administration API of a voter at a steady rate.

use super::boot_clock::now_us;
use super::error::ScaleError;
use super::stop::StopRequest;
use crate::cluster_processes::admin_client::AdminClient;
use std::time::{Duration, Instant};

/// The tenant whose exports are changed.
pub const TENANT: &str = "scale";
/// Exports that are changed in turn, so that the state stays the same size.
const EXPORTS: u64 = 8;
/// A change that is not settled by then is given up: the time in which a change of primary must be over.
const SETTLE_TIME: Duration = Duration::from_secs(13);
/// Wait before a change is tried again.
const RETRY: Duration = Duration::from_millis(20);

/// A settled change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettledChange {
    /// The version of the store that holds it.
    pub version: u64,
    /// When it was known to be settled, us on the boot clock.
    pub at_us: u64,
}

/// Makes changes, one after the other.
pub struct ChangeMaker {
    /// A caller of each voter.
    voters: Vec<AdminClient>,
    /// The voter that settled the last change.
    current: usize,
    made: u64,
    /// What sets the keys of this run's changes apart from those of others.
    run: u64,
}

impl ChangeMaker {
    /// Makes changes at these voters.
    pub fn new(voters: Vec<AdminClient>) -> ChangeMaker {
        ChangeMaker { voters, current: 0, made: 0, run: now_us() }
    }

    /// Makes a change, at whichever voter settles it first.
    pub fn make(&mut self, stop: &StopRequest) -> Result<SettledChange, ScaleError> {
        let begun = Instant::now();
        self.made += 1;
        let export = format!("export{}", self.made % EXPORTS);
        let key = format!("{}-{}", self.run, self.made);
        while begun.elapsed() < SETTLE_TIME {
            stop.check()?;
            let voter = self.current % self.voters.len();
            if let Some(version) = self.voters[voter].put_version(TENANT, &export, &key) {
                return Ok(SettledChange { version, at_us: now_us() });
            }
            self.current += 1;
            std::thread::sleep(RETRY);
        }
        let seconds = SETTLE_TIME.as_secs();
        Err(ScaleError::Failed(format!("a change was not settled within {seconds} s")))
    }

    /// Makes changes at a rate for some time, and says each; the first one half an interval from now.
    pub fn run(
        &mut self,
        per_second: f64,
        time: Duration,
        stop: &StopRequest,
        mut said: impl FnMut(SettledChange),
    ) -> Result<(), ScaleError> {
        let begun = Instant::now();
        let count = (per_second * time.as_secs_f64()).floor() as u64;
        for number in 0..count {
            let due = Duration::from_secs_f64((number as f64 + 0.5) / per_second);
            stop.pause_until(begun + due)?;
            said(self.make(stop)?);
        }
        stop.pause_until(begun + time)
    }
}
