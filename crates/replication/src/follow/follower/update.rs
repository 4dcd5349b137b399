//! Validating and applying one update.

use super::Follower;
use super::poll::{ProbeReason, Rejection};
use crate::relay::RelayDirectory;
use crate::subscribe::{Route, Update};
use crate::time::Millis;
use crate::view::{Chunk, View};

/// Maximum number of heads on the path from a voter to a follower, both included.
const MAX_DEPTH: usize = 12;

impl Follower {
    /// Applies an update. Returns whether the view has changed.
    pub(super) fn accept(&mut self, now: Millis, view: &mut View, update: Update) -> Result<bool, Rejection> {
        let Update { version, age, chunk, route, directory } = update;
        if let Some(route) = &route {
            self.check_path(&route.path)?;
        } else if self.route.is_none() {
            return Err(Rejection::Incomplete);
        }
        let has_changed = self.accept_chunk(view, version, chunk)?;
        self.fresh_at = self.fresh_at.max(now.checked_sub(age));
        if let Some(route) = route {
            self.accept_route(route);
        }
        if let Some(directory) = directory {
            self.accept_directory(now, directory);
        }
        Ok(has_changed)
    }

    fn check_path(&self, path: &[String]) -> Result<(), Rejection> {
        // Heads that follow each other in a cycle would only pass old state around.
        if path.contains(&self.own) {
            return Err(Rejection::Cycle);
        }
        if path.len() >= MAX_DEPTH {
            return Err(Rejection::TooDeep);
        }
        Ok(())
    }

    fn accept_chunk(
        &mut self,
        view: &mut View,
        version: u64,
        chunk: Option<Chunk>,
    ) -> Result<bool, Rejection> {
        if let Some(chunk) = chunk {
            return self.transfer.accept(view, chunk).map_err(|_| Rejection::Behind);
        }
        let (_, first_version) = self.transfer.next_request(view);
        match version {
            version if version < view.version => Err(Rejection::Behind),
            version if version == view.version && first_version == 0 => Ok(false),
            _ => Err(Rejection::Incomplete),
        }
    }

    fn accept_route(&mut self, route: Route) {
        // Voters of an older log index may include heads that are no longer voters.
        if route.voters.log_index >= self.voters.log_index {
            self.voters = route.voters.clone();
        }
        self.route = Some(route);
    }

    pub(super) fn accept_directory(&mut self, now: Millis, directory: RelayDirectory) {
        self.candidates.set_directory(RelayDirectory::new(directory.relays().iter().cloned()));
        let Some(upstream) = self.upstream.clone() else { return };
        if self.is_upstream_stale || self.candidates.is_first_choice(&upstream) {
            return;
        }
        if self.probe.is_none() {
            self.reschedule_probe(now, ProbeReason::FirstChoice);
        }
    }
}
