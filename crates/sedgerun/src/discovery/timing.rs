//! How polls are paced: how long one waits for an update, and when it counts as timed out. Both follow from whether
//! endpoint lists are polled from a service for all heads, or pushed through an agent on this machine. Owns the
//! random numbers that spread polls over the heads; makes no calls itself.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use sedgerun_policy::Settings;
use std::time::Duration;

/// A change counts as delivered 6 s after discovery had it and could be reached, whatever became of the polls. The
/// response that brings it has to be read by then; the 200 ms to spare are for the program's own scheduling.
pub(super) const DELIVERY_DEADLINE: Duration = Duration::from_millis(5800);
/// The longest that a poll waits for an update. Short enough that a poll which fell silent as it began times out,
/// and the next one is answered, within [`DELIVERY_DEADLINE`].
const MAX_WAIT: Duration = Duration::from_millis(3500);
/// The least part of [`MAX_WAIT`] that a poll waits. Guards against a stampede: the polls of all heads are answered
/// at once by a change, and would end, or time out, at once ever after.
const MIN_WAIT_FRACTION: f64 = 0.65;
/// Time past its wait after which a poll counts as timed out. Discovery drops polls that have queued there for a second.
pub(super) const TIMEOUT_MARGIN: Duration = Duration::from_millis(1100);
/// The shortest wait for an agent, where the settings give no drain grace period to derive it from.
const MIN_AGENT_WAIT: Duration = Duration::from_millis(100);

/// Who endpoint lists come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListSource {
    /// A service for all heads, polled at the intervals that the controller sets.
    Service,
    /// An agent on this machine, to which lists are pushed; a poll of it costs nobody anything.
    Agent,
}

/// The pacing of polls.
#[derive(Debug)]
pub(super) struct PollTiming {
    source: ListSource,
    /// The longest that a poll waits for an update.
    max_wait: Duration,
    /// Time past the wait after which the poll counts as timed out.
    timeout_margin: Duration,
    random: ChaCha8Rng,
}

impl PollTiming {
    /// The pacing under these settings; `seed` is that of the head's random numbers.
    pub(super) fn new(settings: &Settings, seed: u64) -> PollTiming {
        let random = ChaCha8Rng::seed_from_u64(seed);
        if settings.permissions.must_poll {
            return PollTiming {
                source: ListSource::Service,
                max_wait: MAX_WAIT,
                timeout_margin: TIMEOUT_MARGIN,
                random,
            };
        }
        // Guards against a drain that the agent has while this head waits on a poll that a silent agent will never
        // answer: what the agent has counts as delivered. Wait and margin together stay within three quarters of
        // the grace period.
        let grace = Duration::from_micros(settings.rules.drain_grace);
        PollTiming {
            source: ListSource::Agent,
            max_wait: (grace / 2).clamp(MIN_AGENT_WAIT, MAX_WAIT),
            timeout_margin: (grace / 4).clamp(MIN_AGENT_WAIT, TIMEOUT_MARGIN),
            random,
        }
    }

    /// Who endpoint lists come from.
    pub(super) fn source(&self) -> ListSource {
        self.source
    }

    /// How long the next poll waits for an update; not at all where the full list is requested, that is where no
    /// generation is known.
    pub(super) fn wait(&mut self, generation: Option<u64>) -> Duration {
        match (generation, self.source) {
            (None, _) => Duration::ZERO,
            (Some(_), ListSource::Service) => self.random_part(MIN_WAIT_FRACTION, self.max_wait),
            (Some(_), ListSource::Agent) => self.max_wait,
        }
    }

    /// The time after which a poll with this wait counts as timed out.
    pub(super) fn timeout(&self, wait: Duration) -> Duration {
        wait + self.timeout_margin
    }

    /// A random part of `whole`, at least the fraction `min_fraction` of it.
    pub(super) fn random_part(&mut self, min_fraction: f64, whole: Duration) -> Duration {
        let uniform = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        whole.mul_f64(min_fraction + (1.0 - min_fraction) * uniform)
    }
}
