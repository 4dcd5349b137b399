//! How far a run has come, on the standard error: a bar where somebody watches, else a line a step.

use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::time::Duration;

/// Between movements of the bar.
const TICK: Duration = Duration::from_millis(250);

/// Progress of a run.
pub struct Progress {
    bar: Option<ProgressBar>,
}

impl Progress {
    /// Begins to show so many steps.
    pub fn begin(steps: u64) -> Progress {
        let bar = std::io::stderr().is_terminal().then(|| ProgressBar::new(steps));
        if let Some(bar) = &bar {
            if let Ok(style) = ProgressStyle::with_template("{elapsed} {bar:30} {pos}/{len} {msg}") {
                bar.set_style(style);
            }
            bar.enable_steady_tick(TICK);
        }
        Progress { bar }
    }

    /// Says what is being done.
    pub fn say(&self, what: &str) {
        match &self.bar {
            Some(bar) => bar.set_message(what.to_owned()),
            None => eprintln!("scale: {what}"),
        }
    }

    /// One more step is done.
    pub fn step(&self) {
        if let Some(bar) = &self.bar {
            bar.inc(1);
        }
    }

    /// All is done.
    pub fn end(&self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
