//! Draws a fleet and its traffic from a scenario and a seed: boxes, volumes and every request that comes,
//! with its
//! work. Pure, so that both drivers play the very same morning.
//!
//! Logarithms come from `libm` through `rand_distr`, not from the machine's mathematics library, so that a
//! seed
//! gives the same draw on every machine.

use crate::scenario::{PlanSpec, Scenario, Span};
use crate::script::{Act, Step, Which};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use sedgerun_config::policy_settings::settings;
use sedgerun_config::{Faults, Pairs, platform};
use sedgerun_policy::{Micros, Settings};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// Sizes of requests in units, and how often each comes, in hundredths.
const UNITS: [(u8, u32); 5] = [(1, 35), (2, 30), (3, 20), (4, 10), (6, 5)];
/// Their mean.
pub const MEAN_UNITS: f64 = 2.25;
/// The largest.
pub const TOP_UNITS: u8 = 6;
/// Part of the capacity that counts as what boxes can do: the rest goes to pauses and put-off work.
const USABLE: f64 = 0.9;
/// Part of a volume's requests that come through the head that leads.
const LEAD: f64 = 0.6;
/// How long new objects are read again, and how many of a volume's are remembered.
const FRESH: Micros = 5_000_000;
const MOST_FRESH: usize = 32;

/// A box, as it was bought.
#[derive(Clone, Debug, PartialEq)]
pub struct BoxSpec {
    /// Its cores.
    pub cores: u64,
    /// Their speed, millionths of the yardstick.
    pub speed: u64,
    /// The shard it holds.
    pub shard: u32,
}

/// A volume.
#[derive(Clone, Debug, PartialEq)]
pub struct Volume {
    /// Its name on the wire.
    pub id: u64,
    /// Position of its plan.
    pub plan: usize,
    /// Heads that its requests come through.
    pub heads: Vec<u16>,
    /// Shards that hold its data.
    pub shards: Vec<u32>,
    /// Requests a second, usually.
    pub rate: f64,
    /// Its clients speak 9P.
    pub ninep: bool,
}

/// Where a request must go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// To this shard.
    Shard(u32),
    /// A new object: anywhere.
    New,
    /// Wherever that earlier arrival was put; to the shard, where that is not known.
    Of(u32, u32),
}

/// One request that is due, whatever became of others.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the start.
    pub due: Micros,
    /// Position of its volume.
    pub volume: u32,
    /// Position of its class.
    pub class: u8,
    /// Its size.
    pub units: u8,
    /// Its work on a core of speed 1, us.
    pub work: u64,
    /// The item of data.
    pub key: u64,
    /// The head it comes to.
    pub head: u16,
    /// Where it must go.
    pub home: Home,
}

/// A morning, drawn.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// The boxes at the start.
    pub boxes: Vec<BoxSpec>,
    /// The volumes.
    pub volumes: Vec<Volume>,
    /// All that is due, in order.
    pub arrivals: Vec<Arrival>,
    /// The platform's settings of every head.
    pub json: Value,
    /// The same, read.
    pub settings: Settings,
}

/// A source of numbers for one purpose: draws for one do not shift another's.
pub fn source(seed: u64, purpose: u64) -> ChaCha8Rng {
    let mut source = ChaCha8Rng::seed_from_u64(seed);
    source.set_stream(purpose);
    source
}

/// A figure within a span.
pub fn within(source: &mut impl Rng, [from, to]: Span) -> f64 {
    if to > from { source.random_range(from..to) } else { from }
}

/// A time within a span of seconds.
pub fn time_within(source: &mut impl Rng, [from, to]: Span) -> Micros {
    let (from, to) = ((from * 1e6) as Micros, (to * 1e6) as Micros);
    if to > from { source.random_range(from..to) } else { from }
}

/// Which of so many a step strikes: the same ones for all steps of one form.
pub fn chosen(which: &Which, of: usize, seed: u64, form: usize) -> Vec<usize> {
    match which {
        Which::These(these) => these.iter().copied().filter(|one| *one < of).collect(),
        Which::Part(part) if *part >= 1.0 => (0..of).collect(),
        Which::Part(part) => {
            some(of, (part * of as f64).ceil() as usize, &mut source(seed, 1000 + form as u64))
        }
    }
}

/// Some of so many, drawn.
fn some(of: usize, count: usize, source: &mut impl Rng) -> Vec<usize> {
    let mut all: Vec<usize> = (0..of).collect();
    for i in 0..count.min(of) {
        let other = source.random_range(i..of);
        all.swap(i, other);
    }
    all.truncate(count.min(of));
    all
}

/// Some of all, drawn as often as each weighs, none twice: data is placed where there is power for it.
fn by_weight(weights: &[f64], count: usize, random: &mut ChaCha8Rng) -> Vec<usize> {
    let mut left = weights.to_vec();
    let count = count.min(left.len());
    let draw = |_| {
        let one = pick(random, left.iter().copied());
        left[one] = 0.0;
        one
    };
    (0..count).map(draw).collect()
}

impl Drawn {
    /// Draws a morning.
    pub fn new(scenario: &Scenario, seed: u64) -> Result<Drawn, Faults> {
        let mut random = source(seed, 1);
        let boxes: Vec<BoxSpec> = (0..scenario.boxes)
            .map(|i| {
                let big = (i as f64 + 0.5) / (scenario.boxes as f64) < scenario.big_share;
                let span = if big { scenario.big_speed } else { scenario.small_speed };
                let speed = (within(&mut random, span) * 1e6) as u64;
                BoxSpec {
                    cores: if big { scenario.big_cores } else { scenario.small_cores },
                    speed: speed.max(1),
                    shard: i as u32,
                }
            })
            .collect();
        let power: f64 = boxes.iter().map(|one| one.cores as f64 * one.speed as f64 / 1e6).sum();
        let mean = |span: Span| (span[0] + span[1]) / 2.0;
        let shares: f64 = scenario.classes.iter().map(|class| class.share).sum();
        let work: f64 = scenario.classes.iter().map(|class| class.share * mean(class.work_ms)).sum::<f64>()
            / shares.max(1e-9);
        let rate = scenario.load * USABLE * power / (work / 1e3).max(1e-9);
        let (volumes, base) = volumes(scenario, &mut random, rate, &boxes);
        let json = platform_settings(scenario, &boxes, base);
        let mut map = BTreeMap::new();
        platform::flatten("", &json, &mut map);
        let pairs = Pairs::from_map(&map);
        let read = settings(&pairs);
        let settings = pairs.finish(read)?;
        let power = boxes.iter().map(|one| (one.cores * one.speed) as f64).collect();
        let arrivals = Traffic { scenario, seed, volumes: &volumes, power }.arrivals();
        Ok(Drawn { boxes, volumes, arrivals, json, settings })
    }
}

/// The volumes, and the rate of the smallest, in requests a second.
fn volumes(scenario: &Scenario, random: &mut ChaCha8Rng, rate: f64, boxes: &[BoxSpec]) -> (Vec<Volume>, f64) {
    let power: Vec<f64> = boxes.iter().map(|one| (one.cores * one.speed) as f64).collect();
    let count = ((scenario.volumes_per_box * scenario.boxes as f64).round() as usize).max(1);
    let shares: f64 = scenario.plans.iter().map(|plan| plan.share).sum();
    // Traffic is split by share and a plan's volumes are of one size, so that its count follows.
    let weight = |plan: &PlanSpec| plan.share / shares.max(1e-9) / plan.size;
    let weights: f64 = scenario.plans.iter().map(weight).sum();
    let base = rate * weights / count as f64;
    let mut volumes = Vec::new();
    let mut edge = 0.0;
    for (plan, spec) in scenario.plans.iter().enumerate() {
        edge += weight(spec) / weights * count as f64;
        while (volumes.len() as f64) + 0.5 < edge {
            let heads = within(random, scenario.volume_heads).round() as usize;
            let shards = within(random, scenario.volume_shards).round() as usize;
            let heads = some(scenario.heads as usize, heads.max(1), random);
            let shards = by_weight(&power, shards.max(1), random);
            volumes.push(Volume {
                id: 0xa000_0000 + volumes.len() as u64,
                plan,
                heads: heads.into_iter().map(|head| head as u16).collect(),
                shards: shards.into_iter().map(|shard| shard as u32).collect(),
                rate: base * spec.size,
                ninep: false,
            });
        }
    }
    let speakers = (scenario.ninep * volumes.len() as f64).round() as usize;
    for one in some(volumes.len(), speakers, random) {
        volumes[one].ninep = true;
    }
    (volumes, base)
}

/// The settings that the platform would give each head. A just-started box bears `coldUnits` in any case:
/// what
/// the smallest box can do, at the most work that a unit costs.
fn platform_settings(scenario: &Scenario, boxes: &[BoxSpec], base: f64) -> Value {
    let least = boxes.iter().map(|one| one.cores as f64 * one.speed as f64 / 1e6).fold(f64::MAX, f64::min);
    let bears = scenario.tip_multiple * scenario.start_capacity * least * scenario.fall_s * 1e3;
    let unit = scenario.classes.iter().map(|class| class.work_ms[1] / MEAN_UNITS).fold(1e-3, f64::max);
    let classes = scenario.classes.iter().map(|class| {
        json!({"name": class.name, "goalTime": class.aim_ms * 1e3, "deadline": class.deadline_ms * 1e3,
            "repeat": if class.repeat { "free" } else { "single_shot" }, "group": "all", "worth": class.worth,
            "lateWorth": class.late, "streaming": false, "dedupWindow": 0})
    });
    let plans = scenario.plans.iter().map(|plan| {
        let nominal = base * plan.size * MEAN_UNITS;
        json!({"name": plan.name, "nominal": nominal, "reserve": nominal * plan.reserve, "weight": plan.weight,
            "pays": plan.price})
    });
    let writes: Vec<bool> = scenario.classes.iter().map(|class| !class.repeat).collect();
    json!({"balancers": scenario.heads, "period": 2000, "membershipMode": "subscribe", "zones": ["a"],
        "classes": classes.collect::<Vec<Value>>(), "plans": plans.collect::<Vec<Value>>(),
        "limits": {"cancel": true, "maxAttempts": scenario.attempts, "maxRetryAfter": 2_000_000,
            "connIdle": scenario.idle_s * 1e6, "dialTimeout": scenario.dial_ms * 1e3,
            "maxOpen": scenario.max_open},
        "rules": {"drainGrace": scenario.drain_grace_ms * 1e3, "askWithin": 10_000_000, "answerSlack": 8000,
            "startCapacity": scenario.start_capacity, "warmWithin": scenario.warm_s * 1e6,
            "tipMultiple": scenario.tip_multiple, "fall": scenario.fall_s * 1e6},
        "specifics": {"meanUnits": MEAN_UNITS, "unitsTop": TOP_UNITS, "meterPeriod": 0,
            "coldUnits": bears / unit, "changesData": writes}})
}

/// Something that the script does to traffic over a time: which form says so, and what.
struct Strike<T> {
    from: Micros,
    to: Micros,
    form: usize,
    what: T,
}

/// A part of a class's requests that costs so many times the work.
struct Cost {
    class: usize,
    part: f64,
    times: f64,
}

/// A factor over a time.
struct Window {
    from: Micros,
    to: Micros,
    times: f64,
}

fn factor(windows: &[Window], at: Micros) -> f64 {
    windows.iter().filter(|one| (one.from..one.to).contains(&at)).map(|one| one.times).product()
}

struct Traffic<'a> {
    scenario: &'a Scenario,
    seed: u64,
    volumes: &'a [Volume],
    /// What the box of each shard can do: a volume's data lies where there is power for it.
    power: Vec<f64>,
}

impl Traffic<'_> {
    /// The windows of acts that change the traffic: each step lasts until the next of its form.
    fn strikes<T>(&self, read: impl Fn(&Act) -> Option<T>) -> Vec<Strike<T>> {
        let end = (self.scenario.seconds * 1e6) as Micros;
        let steps = &self.scenario.steps;
        let strike = |(i, step): (usize, &Step)| {
            let next = steps[i + 1..].iter().find(|next| next.form == step.form);
            let to = next.map_or(end, |next| next.at);
            read(&step.act).map(|what| Strike { from: step.at, to, form: step.form, what })
        };
        steps.iter().enumerate().filter_map(strike).collect()
    }

    /// The factors on the rate of each volume.
    fn factors(&self) -> Vec<Vec<Window>> {
        let mut factors: Vec<Vec<Window>> = self.volumes.iter().map(|_| Vec::new()).collect();
        let swells = self.strikes(|act| if let Act::Swell(times) = act { Some(*times) } else { None });
        for Strike { from, to, what: times, .. } in swells {
            factors.iter_mut().for_each(|all| all.push(Window { from, to, times }));
        }
        let bursts = self.strikes(|act| match act {
            Act::Burst { plan, volumes, times } if *times != 1.0 => Some((*plan, *volumes, *times)),
            _ => None,
        });
        for Strike { from, to, form, what: (plan, count, times) } in bursts {
            let of_plan = |one: &usize| plan.is_none_or(|plan| self.volumes[*one].plan == plan);
            let of: Vec<usize> = (0..self.volumes.len()).filter(of_plan).collect();
            for one in some(of.len(), count, &mut source(self.seed, 1000 + form as u64)) {
                factors[of[one]].push(Window { from, to, times });
            }
        }
        let end = (self.scenario.seconds * 1e6) as Micros;
        for (i, all) in factors.iter_mut().enumerate() {
            let random = &mut source(self.seed, 1_000_000 + i as u64);
            let plan = &self.scenario.plans[self.volumes[i].plan];
            let every = Exp::new(1.0 / (self.scenario.surge_every_s * 1e6));
            let Some(every) = every.ok().filter(|_| random.random_bool(plan.surging.clamp(0.0, 1.0))) else {
                continue;
            };
            let mut at = every.sample(random) as Micros;
            while at < end {
                let to = at + time_within(random, self.scenario.surge_s);
                all.push(Window { from: at, to, times: within(random, self.scenario.surge_times) });
                at = to + every.sample(random) as Micros;
            }
        }
        factors
    }

    fn arrivals(&self) -> Vec<Arrival> {
        let costs = self.strikes(|act| match *act {
            Act::Cost { class, part, times } if part > 0.0 => Some(Cost { class, part, times }),
            _ => None,
        });
        let factors = self.factors();
        let mut all = Vec::new();
        for (volume, factors) in factors.iter().enumerate() {
            self.of_volume(volume, factors, &costs, &mut all);
        }
        all.sort_by_key(|arrival: &Arrival| (arrival.due, arrival.volume));
        self.reread(&mut all);
        all
    }

    /// The requests of one volume: a Poisson process, thinned to its rate at each moment.
    fn of_volume(&self, volume: usize, factors: &[Window], costs: &[Strike<Cost>], all: &mut Vec<Arrival>) {
        let random = &mut source(self.seed, 2_000_000 + volume as u64);
        let (scenario, spec) = (self.scenario, &self.volumes[volume]);
        let peak: f64 = factors.iter().map(|one| one.times.max(1.0)).product::<f64>().min(1e6);
        let Ok(gaps) = Exp::new(spec.rate * peak / 1e6) else { return };
        let end = (scenario.seconds * 1e6) as Micros;
        let (mut at, mut lead, mut lead_until) = (0.0f64, 0usize, 0);
        loop {
            at += gaps.sample(random).max(1e-3);
            let due = at as Micros;
            if due >= end {
                return;
            }
            if !random.random_bool((factor(factors, due) / peak).clamp(0.0, 1.0)) {
                continue;
            }
            if due >= lead_until {
                lead = random.random_range(0..spec.heads.len());
                lead_until = due + time_within(random, scenario.lead_s);
            }
            let led = random.random_bool(LEAD);
            let head = if led { lead } else { random.random_range(0..spec.heads.len()) };
            let class = pick(random, scenario.classes.iter().map(|class| class.share));
            let units = UNITS[pick(random, UNITS.iter().map(|(_, often)| f64::from(*often)))].0;
            let kind = &scenario.classes[class];
            let mut work = within(random, kind.work_ms) * 1e3 * f64::from(units) / MEAN_UNITS;
            if let Ok(spread) = LogNormal::new(-kind.work_sigma * kind.work_sigma / 2.0, kind.work_sigma)
                && kind.work_sigma > 0.0
            {
                work *= spread.sample(random);
            }
            for Strike { from, to, what, .. } in costs {
                let struck = what.class == class && (*from..*to).contains(&due);
                if struck && random.random_bool(what.part) {
                    work *= what.times;
                }
            }
            let home = spec.shards[pick(random, spec.shards.iter().map(|shard| self.power[*shard as usize]))];
            let new = !kind.repeat && random.random_bool(scenario.new_objects);
            all.push(Arrival {
                due,
                volume: volume as u32,
                class: class as u8,
                units,
                work: (work as u64).max(1),
                key: random.random::<u64>() | 1,
                head: spec.heads[head],
                home: if new { Home::New } else { Home::Shard(home) },
            });
        }
    }

    /// Lets a part of the reads go to objects that their volume has written in the seconds before.
    fn reread(&self, all: &mut [Arrival]) {
        let random = &mut source(self.seed, 2);
        let mut fresh: Vec<VecDeque<(Micros, u32, u64)>> =
            self.volumes.iter().map(|_| VecDeque::new()).collect();
        for (i, arrival) in all.iter_mut().enumerate() {
            let fresh = &mut fresh[arrival.volume as usize];
            while fresh.len() > MOST_FRESH || fresh.front().is_some_and(|old| old.0 + FRESH < arrival.due) {
                fresh.pop_front();
            }
            match arrival.home {
                Home::New => fresh.push_back((arrival.due, i as u32, arrival.key)),
                Home::Shard(shard)
                    if self.scenario.classes[usize::from(arrival.class)].repeat
                        && !fresh.is_empty()
                        && random.random_bool(self.scenario.reread) =>
                {
                    let (_, of, key) = fresh[random.random_range(0..fresh.len())];
                    (arrival.home, arrival.key) = (Home::Of(of, shard), key);
                }
                _ => {}
            }
        }
    }
}

/// A position, as often as its weight says.
fn pick(random: &mut impl Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut left = random.random_range(0.0..1.0) * total;
    let mut last = 0;
    for (i, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        last = i;
        if left < weight {
            break;
        }
        left -= weight;
    }
    last
}
