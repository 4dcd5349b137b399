//! Handling of responses and failures of polls: whether to stay with the upstream, to move, or to look for
//! another.

use super::Follower;
use super::poll::{PollPurpose, ProbeReason, Rejection};
use super::step::MIN_BACKOFF_MS;
use crate::follow::MAX_UPDATE_AGE_MS;
use crate::follow::selection::{UpstreamCandidate, random_below};
use crate::relay::FollowerRole;
use crate::subscribe::{MAX_REDIRECT_PEERS, Redirect, SubscribeResponse, Update};
use crate::time::Millis;
use crate::view::View;

/// A head whose relay has failed polls the next one after a random time below this, in milliseconds, so that
/// not all followers of the relay move at once.
const RELAY_FAILURE_JITTER_MS: Millis = 1000;
/// A follower whose upstream has become stale probes the first other head within this time, in milliseconds.
const FIRST_PROBE_JITTER_MS: Millis = 1000;
/// Maximum retry-after that a follower accepts from its upstream, in milliseconds.
const MAX_RETRY_AFTER_MS: Millis = 5000;

impl Follower {
    /// Handles the failure of a poll: no response in time, or a rejected request.
    pub fn on_failure(&mut self, now: Millis) {
        match self.purpose.take() {
            Some(PollPurpose::Probe(candidate, reason)) => {
                self.avoid(now, &candidate);
                self.reschedule_probe(now, reason);
            }
            Some(PollPurpose::Attach(candidate)) => self.abandon(now, Some(candidate)),
            Some(PollPurpose::Follow) | None => {
                let upstream = self.upstream.clone();
                self.abandon(now, upstream);
            }
        }
    }

    /// Handles the response to a poll. Returns whether the view has changed.
    ///
    /// # Errors
    /// The follower does not follow the head that responded, for this reason.
    pub fn on_response(
        &mut self,
        now: Millis,
        view: &mut View,
        reply: SubscribeResponse,
    ) -> Result<bool, Rejection> {
        let purpose = self.purpose.take().unwrap_or(PollPurpose::Follow);
        match reply {
            SubscribeResponse::Update(update) => self.on_update(now, view, update, purpose),
            SubscribeResponse::Redirect(redirect) => {
                self.on_redirect(now, redirect, purpose);
                Err(Rejection::Redirected)
            }
            SubscribeResponse::RetryAfter(wait) => {
                self.on_busy(now, wait, purpose);
                Err(Rejection::Busy)
            }
        }
    }

    fn on_update(
        &mut self,
        now: Millis,
        view: &mut View,
        update: Update,
        purpose: PollPurpose,
    ) -> Result<bool, Rejection> {
        let result = match &purpose {
            PollPurpose::Attach(candidate) => self.attach(now, view, update, candidate.clone()),
            PollPurpose::Follow => match self.upstream.clone() {
                Some(upstream) => self.attach(now, view, update, upstream),
                None => Err(Rejection::NoBetter),
            },
            PollPurpose::Probe(candidate, reason) => self.try_move(now, view, update, candidate, *reason),
        };
        if result.is_err() {
            self.purpose = Some(purpose);
            self.on_failure(now);
        }
        result
    }

    /// Accepts an update from the upstream, or from a head that becomes the upstream by it.
    fn attach(
        &mut self,
        now: Millis,
        view: &mut View,
        update: Update,
        from: UpstreamCandidate,
    ) -> Result<bool, Rejection> {
        let is_stale = update.age > MAX_UPDATE_AGE_MS;
        let is_newer = self.age(now).is_none_or(|own| own > update.age) || update.version > view.version;
        let stays = !is_stale || self.stays_with_stale(now, &from);
        if !stays && !is_newer {
            return Err(Rejection::Stale);
        }
        let has_changed = self.accept(now, view, update)?;
        if !stays {
            // The changes are accepted because they are newer, but the follower looks for another upstream.
            return Err(Rejection::Stale);
        }
        self.set_upstream(now, from, is_stale);
        Ok(has_changed)
    }

    /// Whether an ordinary head follows a relay that has lost contact with the voters. It stays with its
    /// current relay, because in a partitioned region all other heads have lost contact as well, and it
    /// accepts a new one while its own state is stale.
    fn stays_with_stale(&self, now: Millis, relay: &UpstreamCandidate) -> bool {
        let is_stale_itself = self.age(now).is_none_or(|own| own > MAX_UPDATE_AGE_MS);
        let is_acceptable = self.is_upstream(relay) || is_stale_itself;
        self.role() == FollowerRole::Head && relay.is_relay && is_acceptable
    }

    fn is_upstream(&self, candidate: &UpstreamCandidate) -> bool {
        self.upstream.as_ref().is_some_and(|upstream| upstream.peer.head == candidate.peer.head)
    }

    /// Sets the upstream, from which an update was accepted.
    fn set_upstream(&mut self, now: Millis, from: UpstreamCandidate, is_stale: bool) {
        let is_new = !self.is_upstream(&from);
        let was_stale = self.is_upstream_stale && !is_new;
        let has_recovered = self.is_upstream_stale && !is_stale;
        self.is_upstream_stale = is_stale;
        self.consecutive_failures = 0;
        self.candidates.end_round();
        if is_stale && !was_stale {
            self.avoid(now, &from);
            self.schedule_probe(now, ProbeReason::Fresher, (0, FIRST_PROBE_JITTER_MS));
        } else if !is_stale {
            self.candidates.avoidance.clear(&from.peer.head);
            if is_new || has_recovered {
                self.probe = None;
            }
        }
        self.upstream = Some(from.clone());
        if self.probe.is_none() && !self.candidates.is_first_choice(&from) {
            self.reschedule_probe(now, ProbeReason::FirstChoice);
        }
    }

    /// Moves to a probed head if it is better than the upstream.
    fn try_move(
        &mut self,
        now: Millis,
        view: &mut View,
        update: Update,
        to: &UpstreamCandidate,
        reason: ProbeReason,
    ) -> Result<bool, Rejection> {
        let is_better = match reason {
            ProbeReason::FirstChoice => update.age <= MAX_UPDATE_AGE_MS,
            ProbeReason::Fresher => self.age(now).is_none_or(|own| update.age + MAX_UPDATE_AGE_MS < own),
        };
        if !is_better {
            return Err(Rejection::NoBetter);
        }
        let is_stale = update.age > MAX_UPDATE_AGE_MS;
        let has_changed = self.accept(now, view, update)?;
        self.set_upstream(now, to.clone(), is_stale);
        Ok(has_changed)
    }

    fn on_redirect(&mut self, now: Millis, redirect: Redirect, purpose: PollPurpose) {
        let Redirect { directory, mut peers } = redirect;
        if let Some(directory) = directory {
            self.accept_directory(now, directory);
        }
        peers.truncate(MAX_REDIRECT_PEERS);
        let is_attach = matches!(purpose, PollPurpose::Attach(_));
        self.purpose = Some(purpose);
        self.on_failure(now);
        self.candidates.add_untried(peers, &mut self.rng);
        // If it now knows a relay, it polls that at once.
        if is_attach && self.candidates.has_available_relay(now) {
            self.next_step_at = now;
        }
    }

    /// Handles a retry-after: the head is alive and will serve this one later, so it becomes or stays the
    /// upstream. A probe is rescheduled.
    fn on_busy(&mut self, now: Millis, wait: Millis, purpose: PollPurpose) {
        match purpose {
            PollPurpose::Probe(_, reason) => return self.reschedule_probe(now, reason),
            PollPurpose::Attach(candidate) => self.upstream = Some(candidate),
            PollPurpose::Follow => {}
        }
        self.next_step_at = now + wait.clamp(MIN_BACKOFF_MS, MAX_RETRY_AFTER_MS);
    }

    fn avoid(&mut self, now: Millis, candidate: &UpstreamCandidate) {
        if candidate.is_relay {
            self.candidates.avoidance.add(now, &candidate.peer.head);
        }
    }

    /// Abandons the upstream, or a candidate that was tried, and schedules the next attempt.
    fn abandon(&mut self, now: Millis, abandoned: Option<UpstreamCandidate>) {
        if let Some(abandoned) = &abandoned {
            self.avoid(now, abandoned);
        }
        let had_upstream = self.upstream.take().is_some();
        (self.is_upstream_stale, self.probe) = (false, None);
        let has_another_relay = had_upstream && self.candidates.has_available_relay(now);
        let wait = if has_another_relay && self.role() == FollowerRole::Head {
            random_below(&mut self.rng, RELAY_FAILURE_JITTER_MS)
        } else {
            self.next_backoff()
        };
        self.next_step_at = now + wait;
    }
}
