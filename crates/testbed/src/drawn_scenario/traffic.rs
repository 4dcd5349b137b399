//! Draws the requests of all volumes: a Poisson process for each, whose rate follows its surges and the script.

use super::types::{Arrival, MEAN_UNITS, Placement, REQUEST_SIZES, Volume};
use crate::random::{sample, source, time_within, weighted_position, within};
use crate::scenario::{ClassSpec, Scenario};
use crate::script::{ScriptAction, ScriptStep, step_source};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use sedgerun_policy::Micros;
use std::collections::VecDeque;

/// Part of a volume's requests that come through its preferred head.
const PREFERRED_HEAD_FRACTION: f64 = 0.6;
/// How long new objects are read again, us, and how many of a volume's are remembered.
const FRESH_FOR: Micros = 5_000_000;
const MAX_FRESH: usize = 32;
/// Bound on the factor that the rate of a volume is drawn for before it is thinned.
const MAX_PEAK: f64 = 1e6;
/// The least time between two requests of a volume, us.
const MIN_GAP: f64 = 1e-3;
/// Purposes of random sources: reads of new objects, and from here on the surges and the requests of each volume.
const REREAD_PURPOSE: u64 = 2;
const FIRST_SURGE_PURPOSE: u64 = 1_000_000;
const FIRST_REQUEST_PURPOSE: u64 = 2_000_000;

/// What the script does to the traffic over a time.
struct TrafficEffect<T> {
    from: Micros,
    to: Micros,
    /// The form of the script that says so.
    form: usize,
    effect: T,
}

/// A part of a class's requests costs so many times the work.
struct CostFactor {
    class: usize,
    part: f64,
    times: f64,
}

/// A factor on the rate of a volume over a time.
struct RateFactor {
    from: Micros,
    to: Micros,
    times: f64,
}

/// An object that was written lately.
struct FreshObject {
    written_at: Micros,
    arrival: u32,
    key: u64,
}

/// The factor on a rate at a time.
fn rate_factor(factors: &[RateFactor], at: Micros) -> f64 {
    factors.iter().filter(|one| (one.from..one.to).contains(&at)).map(|one| one.times).product()
}

/// Draws the requests of a scenario's volumes.
pub struct TrafficGenerator<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The seed.
    pub seed: u64,
    /// The volumes.
    pub volumes: &'a [Volume],
    /// Weight of each shard, by the power of its backend: a volume's data lies where there is power for it.
    pub shard_weights: Vec<f64>,
}

impl TrafficGenerator<'_> {
    /// All requests, in the order of their times.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let costs = self.effects(|action| match *action {
            ScriptAction::Cost { class, part, times } if part > 0.0 => {
                Some(CostFactor { class, part, times })
            }
            _ => None,
        });
        let factors = self.rate_factors();
        let mut all = Vec::new();
        for (volume, factors) in factors.iter().enumerate() {
            self.draw_volume(volume, factors, &costs, &mut all);
        }
        all.sort_by_key(|arrival: &Arrival| (arrival.at, arrival.volume));
        self.reread_new_objects(&mut all);
        all
    }

    fn end(&self) -> Micros {
        (self.scenario.seconds * 1e6) as Micros
    }

    /// The steps that change the traffic; each lasts until the next of its form.
    fn effects<T>(&self, effect: impl Fn(&ScriptAction) -> Option<T>) -> Vec<TrafficEffect<T>> {
        let steps = &self.scenario.steps;
        let lasting = |(i, step): (usize, &ScriptStep)| {
            let next = steps[i + 1..].iter().find(|next| next.form == step.form);
            let to = next.map_or(self.end(), |next| next.at);
            effect(&step.action).map(|effect| TrafficEffect { from: step.at, to, form: step.form, effect })
        };
        steps.iter().enumerate().filter_map(lasting).collect()
    }

    /// The factors on the rate of each volume.
    fn rate_factors(&self) -> Vec<Vec<RateFactor>> {
        let mut factors: Vec<Vec<RateFactor>> = self.volumes.iter().map(|_| Vec::new()).collect();
        self.add_swells(&mut factors);
        self.add_bursts(&mut factors);
        for (volume, factors) in factors.iter_mut().enumerate() {
            self.add_surges(volume, factors);
        }
        factors
    }

    fn add_swells(&self, factors: &mut [Vec<RateFactor>]) {
        let swells = self.effects(|action| match action {
            ScriptAction::Swell(times) => Some(*times),
            _ => None,
        });
        for TrafficEffect { from, to, effect: times, .. } in swells {
            factors.iter_mut().for_each(|all| all.push(RateFactor { from, to, times }));
        }
    }

    fn add_bursts(&self, factors: &mut [Vec<RateFactor>]) {
        let bursts = self.effects(|action| match action {
            ScriptAction::Burst { plan, volumes, times } if *times != 1.0 => Some((*plan, *volumes, *times)),
            _ => None,
        });
        for TrafficEffect { from, to, form, effect: (plan, count, times) } in bursts {
            let in_plan = |one: &usize| plan.is_none_or(|plan| self.volumes[*one].plan == plan);
            let candidates: Vec<usize> = (0..self.volumes.len()).filter(in_plan).collect();
            for position in sample(candidates.len(), count, &mut step_source(self.seed, form)) {
                factors[candidates[position]].push(RateFactor { from, to, times });
            }
        }
    }

    /// The surges of one volume, of which only a part of each plan's volumes have any.
    fn add_surges(&self, volume: usize, factors: &mut Vec<RateFactor>) {
        let traffic = &self.scenario.traffic;
        let random = &mut source(self.seed, FIRST_SURGE_PURPOSE + volume as u64);
        let plan = &self.scenario.plans[self.volumes[volume].plan];
        let gaps = Exp::new(1.0 / (traffic.surge_every_s * 1e6));
        let surges = |_: &Exp<f64>| random.random_bool(plan.surging_fraction.clamp(0.0, 1.0));
        let Some(gaps) = gaps.ok().filter(surges) else { return };
        let mut at = gaps.sample(random) as Micros;
        while at < self.end() {
            let to = at + time_within(random, traffic.surge_s);
            factors.push(RateFactor { from: at, to, times: within(random, traffic.surge_times) });
            at = to + gaps.sample(random) as Micros;
        }
    }

    /// The requests of one volume: a Poisson process at its peak rate, thinned to its rate at each moment.
    fn draw_volume(
        &self,
        volume: usize,
        factors: &[RateFactor],
        costs: &[TrafficEffect<CostFactor>],
        all: &mut Vec<Arrival>,
    ) {
        let random = &mut source(self.seed, FIRST_REQUEST_PURPOSE + volume as u64);
        let spec = &self.volumes[volume];
        let peak: f64 = factors.iter().map(|one| one.times.max(1.0)).product::<f64>().min(MAX_PEAK);
        let Ok(gaps) = Exp::new(spec.rate * peak / 1e6) else { return };
        let (mut time, mut preferred, mut preferred_until) = (0.0f64, 0usize, 0);
        loop {
            time += gaps.sample(random).max(MIN_GAP);
            let at = time as Micros;
            if at >= self.end() {
                return;
            }
            if !random.random_bool((rate_factor(factors, at) / peak).clamp(0.0, 1.0)) {
                continue;
            }
            if at >= preferred_until {
                preferred = random.random_range(0..spec.heads.len());
                preferred_until = at + time_within(random, self.scenario.traffic.preferred_head_s);
            }
            let takes_preferred = random.random_bool(PREFERRED_HEAD_FRACTION);
            let head = if takes_preferred { preferred } else { random.random_range(0..spec.heads.len()) };
            all.push(self.draw_request(volume, at, spec.heads[head], costs, random));
        }
    }

    /// The class, size, work and data of one request.
    fn draw_request(
        &self,
        volume: usize,
        at: Micros,
        head: u16,
        costs: &[TrafficEffect<CostFactor>],
        random: &mut ChaCha8Rng,
    ) -> Arrival {
        let spec = &self.volumes[volume];
        let class = weighted_position(random, self.scenario.classes.iter().map(|class| class.share));
        let size =
            weighted_position(random, REQUEST_SIZES.iter().map(|(_, frequency)| f64::from(*frequency)));
        let units = REQUEST_SIZES[size].0;
        let class_spec = &self.scenario.classes[class];
        let mut work = draw_work(class_spec, units, random);
        for TrafficEffect { from, to, effect, .. } in costs {
            let applies = effect.class == class && (*from..*to).contains(&at);
            if applies && random.random_bool(effect.part) {
                work *= effect.times;
            }
        }
        let weights = spec.shards.iter().map(|shard| self.shard_weights[*shard as usize]);
        let shard = spec.shards[weighted_position(random, weights)];
        let is_new =
            !class_spec.is_idempotent && random.random_bool(self.scenario.traffic.new_object_fraction);
        Arrival {
            at,
            volume: volume as u32,
            class: class as u8,
            units,
            work: (work as u64).max(1),
            key: random.random::<u64>() | 1,
            head,
            placement: if is_new { Placement::NewObject } else { Placement::Shard(shard) },
        }
    }

    /// Lets a part of the reads go to objects that their volume has written in the seconds before.
    fn reread_new_objects(&self, all: &mut [Arrival]) {
        let random = &mut source(self.seed, REREAD_PURPOSE);
        let mut fresh: Vec<VecDeque<FreshObject>> = self.volumes.iter().map(|_| VecDeque::new()).collect();
        for (i, arrival) in all.iter_mut().enumerate() {
            let fresh = &mut fresh[arrival.volume as usize];
            while fresh.len() > MAX_FRESH
                || fresh.front().is_some_and(|oldest| oldest.written_at + FRESH_FOR < arrival.at)
            {
                fresh.pop_front();
            }
            match arrival.placement {
                Placement::NewObject => {
                    let object = FreshObject { written_at: arrival.at, arrival: i as u32, key: arrival.key };
                    fresh.push_back(object);
                }
                Placement::Shard(shard)
                    if self.scenario.classes[usize::from(arrival.class)].is_idempotent
                        && !fresh.is_empty()
                        && random.random_bool(self.scenario.traffic.reread_fraction) =>
                {
                    let object = &fresh[random.random_range(0..fresh.len())];
                    arrival.placement = Placement::WithWrite(object.arrival, shard);
                    arrival.key = object.key;
                }
                _ => {}
            }
        }
    }
}

/// The work of a request on a core of speed 1, us.
fn draw_work(class: &ClassSpec, units: u8, random: &mut ChaCha8Rng) -> f64 {
    let work = within(random, class.work_ms) * 1e3 * f64::from(units) / MEAN_UNITS;
    match LogNormal::new(-class.work_sigma * class.work_sigma / 2.0, class.work_sigma) {
        Ok(spread) if class.work_sigma > 0.0 => work * spread.sample(random),
        _ => work,
    }
}
