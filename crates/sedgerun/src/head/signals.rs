//! The signals of a process: SIGTERM ends it, SIGHUP has it read its configuration again.

use super::HeadError;
use crate::config::{Config, Sources};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};

/// The signals that the program handles. Caught once, they never end it by themselves.
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
}

impl Signals {
    /// Catches them from now on.
    pub fn catch() -> Result<Signals, HeadError> {
        let catch = |kind| signal(kind).map_err(HeadError::Signals);
        Ok(Signals { hangup: catch(SignalKind::hangup())?, terminate: catch(SignalKind::terminate())? })
    }

    /// The one task for signals, from start to exit: a new configuration may come while the head drains, and
    /// its end while a new configuration is read.
    pub(super) async fn handle(mut self, reload: Reload, terminated: Rc<Notify>) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => terminated.notify_one(),
                _ = self.hangup.recv() => reload.run(),
            }
        }
    }
}

/// What SIGHUP brings about: the configuration is read again, and discovery is where it says.
pub(super) struct Reload {
    /// Where the configuration is read from.
    pub sources: Sources,
    /// The configuration in force.
    pub config: Rc<Config>,
    /// The address of discovery in force.
    pub discovery: watch::Sender<SocketAddr>,
}

impl Reload {
    fn run(&self) {
        let fresh = match self.sources.read() {
            Ok(fresh) => fresh,
            // Guards against a file that cannot be used: what is in force stays.
            Err(faults) => return tracing::error!("SIGHUP: {faults}; nothing is changed"),
        };
        for key in self.config.fixed(&fresh) {
            tracing::warn!("SIGHUP: {key} differs; the next start takes it over");
        }
        let has_moved = self
            .discovery
            .send_if_modified(|address| std::mem::replace(address, fresh.discovery) != fresh.discovery);
        let now_or_still = if has_moved { "now" } else { "still" };
        tracing::info!("SIGHUP: discovery is {now_or_still} {}", fresh.discovery);
    }
}
