//! The next step of a follower: which head it polls and when, with backoff after failures and scheduled
//! probes of other heads.

use super::Follower;
use super::poll::{FollowerStep, PollPurpose, ProbeReason, ScheduledProbe, UpstreamPoll};
use crate::follow::selection::{UpstreamCandidate, random_below};
use crate::relay::FollowerRole;
use crate::subscribe::{HEAD_POLL_TIMEOUT_MS, RELAY_POLL_TIMEOUT_MS};
use crate::time::Millis;
use crate::view::View;

/// Backoff after the first failure, in milliseconds. It doubles with each further failure, and half of it is
/// random.
pub(super) const MIN_BACKOFF_MS: Millis = 50;
/// Maximum backoff, in milliseconds.
const MAX_BACKOFF_MS: Millis = 2000;
/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// A head that follows no relay tries to move to one within this time after it learns of relays, in
/// milliseconds.
const FIRST_MOVE_JITTER_MS: Millis = 5000;
/// Range of the random time after which a follower tries to return to its first choice, in milliseconds.
const RETURN_DELAY_RANGE_MS: (Millis, Millis) = (30_000, 60_000);
/// Range of the random time between probes of a follower whose upstream is stale, in milliseconds.
const PROBE_INTERVAL_RANGE_MS: (Millis, Millis) = (5000, 10_000);

impl Follower {
    /// The step to execute now; `serves_followers` tells whether this head has followers itself.
    pub fn next_step(&mut self, now: Millis, view: &View, serves_followers: bool) -> FollowerStep {
        if now < self.next_step_at {
            return FollowerStep::WaitUntil(self.next_step_at);
        }
        let Some(upstream) = self.upstream.clone() else { return self.next_attachment(now, view) };
        let (since, first_version) = self.transfer.next_request(view);
        // A transfer in progress must be completed before another head is probed.
        let probe = self.probe.filter(|_| first_version == 0);
        if let Some(probe) = probe.filter(|probe| now >= probe.at)
            && let Some(candidate) = self.probe_candidate(now, &upstream, probe.reason)
        {
            let poll = self.poll(&candidate, (since, first_version), 0);
            self.purpose = Some(PollPurpose::Probe(candidate, probe.reason));
            return FollowerStep::Poll(poll);
        }
        let polls_often = serves_followers || self.is_upstream_stale || self.role() == FollowerRole::Relay;
        let poll_timeout = if polls_often { RELAY_POLL_TIMEOUT_MS } else { HEAD_POLL_TIMEOUT_MS };
        let until_probe = self.probe.map_or(poll_timeout, |probe| probe.at.saturating_sub(now).max(1));
        let poll = self.poll(&upstream, (since, first_version), poll_timeout.min(until_probe));
        self.purpose = Some(PollPurpose::Follow);
        FollowerStep::Poll(poll)
    }

    fn next_attachment(&mut self, now: Millis, view: &View) -> FollowerStep {
        let Some(candidate) = self.candidates.next(now, &self.voters, &mut self.rng) else {
            return FollowerStep::WaitUntil(now + MAX_BACKOFF_MS);
        };
        let poll = self.poll(&candidate, self.transfer.next_request(view), 0);
        self.purpose = Some(PollPurpose::Attach(candidate));
        FollowerStep::Poll(poll)
    }

    fn poll(
        &self,
        to: &UpstreamCandidate,
        (since, first_version): (u64, u64),
        poll_timeout: Millis,
    ) -> UpstreamPoll {
        // A head that knows relays polls another head only if it reaches no relay, or is about to move to
        // one.
        let bypass_relays = self.candidates.knows_relays() && !to.is_relay;
        UpstreamPoll { peer: to.peer.clone(), since, first_version, poll_timeout, bypass_relays }
    }

    /// The head to probe now. If there is none, the probe is rescheduled.
    fn probe_candidate(
        &mut self,
        now: Millis,
        upstream: &UpstreamCandidate,
        reason: ProbeReason,
    ) -> Option<UpstreamCandidate> {
        let candidate = match reason {
            ProbeReason::Fresher => self.candidates.next_probe(upstream, &self.voters),
            ProbeReason::FirstChoice => {
                self.candidates.better_than(now, upstream, &self.voters, &mut self.rng)
            }
        };
        if candidate.is_none() {
            self.reschedule_probe(now, reason);
        }
        candidate
    }

    /// Schedules a probe after a random time within a range, in milliseconds.
    pub(super) fn schedule_probe(&mut self, now: Millis, reason: ProbeReason, (min, max): (Millis, Millis)) {
        let at = now + min + random_below(&mut self.rng, max - min + 1);
        self.probe = Some(ScheduledProbe { at, reason });
    }

    pub(super) fn reschedule_probe(&mut self, now: Millis, reason: ProbeReason) {
        let range = match reason {
            ProbeReason::Fresher => PROBE_INTERVAL_RANGE_MS,
            ProbeReason::FirstChoice if self.is_in_tree() => (MIN_BACKOFF_MS, FIRST_MOVE_JITTER_MS),
            ProbeReason::FirstChoice => RETURN_DELAY_RANGE_MS,
        };
        self.schedule_probe(now, reason, range);
    }

    /// Whether this is an ordinary head that follows no relay. If there are relays, it soon tries to move to
    /// one; the avoidance of failed relays limits how often it tries those.
    fn is_in_tree(&self) -> bool {
        self.role() == FollowerRole::Head && !self.follows_relay()
    }

    /// Random delay before the next attempt after a failure, in milliseconds.
    pub(super) fn next_backoff(&mut self) -> Millis {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (MIN_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.consecutive_failures += 1;
        backoff / 2 + random_below(&mut self.rng, backoff / 2 + 1)
    }
}
