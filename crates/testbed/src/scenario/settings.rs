//! The settings of a scenario by their keys: `heads`, `box.pause-ms`, `class.read.aim-ms` and so on, each with bounds.
//!
//! The keys are a file format, and so are the texts of [`SettingError`], which operators see.

use super::{
    BackendSettings, ClassSpec, ClientSettings, HeadRules, NetworkSettings, PlanSpec, RetryPolicy, Scenario,
    TrafficSettings,
};
use crate::random;
use thiserror::Error;

/// The longest scenario and the longest time in one, s of virtual time: an hour.
const MAX_SECONDS: f64 = 3600.0;

/// Why a setting cannot be set.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingError {
    /// No setting has this key.
    #[error("setting {0} is unknown")]
    Unknown(String),
    /// A number that is too small or too large.
    #[error("setting {key} is out of range, {least} to {most}: {value}")]
    OutOfRange {
        /// The key.
        key: String,
        /// The least value.
        least: f64,
        /// The greatest value.
        most: f64,
        /// The value given.
        value: f64,
    },
    /// A count that is too small or too large.
    #[error("setting {key} is out of range, {least} to {most}: {value}")]
    CountOutOfRange {
        /// The key.
        key: String,
        /// The least value.
        least: u64,
        /// The greatest value.
        most: u64,
        /// The value given.
        value: u64,
    },
    /// Text where a number has to stand.
    #[error("setting {key} is not a figure: {text}")]
    NotANumber {
        /// The key.
        key: String,
        /// The value given.
        text: String,
    },
    /// Text where a count has to stand.
    #[error("setting {key} is not a whole figure: {text}")]
    NotACount {
        /// The key.
        key: String,
        /// The value given.
        text: String,
    },
    /// A span whose end is below its beginning.
    #[error("setting {key} ends before it begins: {from} to {to}")]
    SpanReversed {
        /// The key.
        key: String,
        /// The beginning given.
        from: String,
        /// The end given.
        to: String,
    },
    /// Text where `true` or `false` has to stand.
    #[error("setting {key} is neither true nor false: {text}")]
    NotABoolean {
        /// The key.
        key: String,
        /// The value given.
        text: String,
    },
    /// Text where a retry policy has to stand.
    #[error("setting {key} is none of none, at-once, wait: {text}")]
    NotARetryPolicy {
        /// The key.
        key: String,
        /// The value given.
        text: String,
    },
    /// No value for a span, or more than two.
    #[error("setting {key} takes one value or two, not {count}")]
    SpanValueCount {
        /// The key.
        key: String,
        /// How many values were given.
        count: usize,
    },
    /// No value, or more than one.
    #[error("setting {key} takes one value, not {count}")]
    ValueCount {
        /// The key.
        key: String,
        /// How many values were given.
        count: usize,
    },
}

/// Where the value of a key is stored, and its bounds.
enum Setting<'a> {
    Count(&'a mut u64, u64, u64),
    Number(&'a mut f64, f64, f64),
    Span(&'a mut random::Span, f64, f64),
    Flag(&'a mut bool),
    Retry(&'a mut RetryPolicy),
}

use Setting::{Count, Flag, Number, Retry, Span};

/// A setting that is a part of a whole.
fn fraction(value: &mut f64) -> Setting<'_> {
    Number(value, 0.0, 1.0)
}

impl Scenario {
    /// Sets a key; a span takes one value or two. An error names the key.
    pub fn set(&mut self, key: &str, values: &[&str]) -> Result<(), SettingError> {
        let setting = self.setting(key).ok_or_else(|| SettingError::Unknown(key.to_owned()))?;
        setting.assign(key, values)
    }

    /// Whether there is a setting of this key.
    pub(super) fn has_setting(&mut self, key: &str) -> bool {
        self.setting(key).is_some()
    }

    fn setting(&mut self, key: &str) -> Option<Setting<'_>> {
        let Some((section, field)) = key.split_once('.') else { return self.own_setting(key) };
        match section {
            "traffic" => self.traffic.setting(field),
            "clients" => self.clients.setting(field),
            "box" => self.backend.setting(field),
            "network" => self.network.setting(field),
            "registry" if field == "lag-s" => Some(Span(&mut self.list_delay_s, 0.0, MAX_SECONDS)),
            "rules" => self.rules.setting(field),
            "class" => {
                let (name, field) = field.split_once('.')?;
                self.classes.iter_mut().find(|class| class.name == name)?.setting(field)
            }
            "plan" => {
                let (name, field) = field.split_once('.')?;
                self.plans.iter_mut().find(|plan| plan.name == name)?.setting(field)
            }
            _ => None,
        }
    }

    fn own_setting(&mut self, key: &str) -> Option<Setting<'_>> {
        Some(match key {
            "seconds" => Number(&mut self.seconds, 0.1, MAX_SECONDS),
            "heads" => Count(&mut self.heads, 1, 1000),
            "boxes" => Count(&mut self.backends, 1, 10_000),
            "seed" => Count(&mut self.seed, 0, u64::MAX),
            "load" => Number(&mut self.load, 0.0, 20.0),
            _ => return None,
        })
    }
}

impl TrafficSettings {
    fn setting(&mut self, field: &str) -> Option<Setting<'_>> {
        Some(match field {
            "volumes-per-box" => Number(&mut self.volumes_per_backend, 0.1, 100.0),
            "volume-heads" => Span(&mut self.volume_heads, 1.0, 1000.0),
            "volume-shards" => Span(&mut self.volume_shards, 1.0, 1000.0),
            "lead-s" => Span(&mut self.preferred_head_s, 0.1, MAX_SECONDS),
            "surge-every-s" => Number(&mut self.surge_every_s, 0.1, 1e6),
            "surge-s" => Span(&mut self.surge_s, 0.0, MAX_SECONDS),
            "surge-times" => Span(&mut self.surge_times, 0.0, 1000.0),
            "new-objects" => fraction(&mut self.new_object_fraction),
            "reread" => fraction(&mut self.reread_fraction),
            _ => return None,
        })
    }
}

impl ClientSettings {
    fn setting(&mut self, field: &str) -> Option<Setting<'_>> {
        Some(match field {
            "retry" => Retry(&mut self.retry),
            "retry-ms" => Span(&mut self.retry_ms, 0.0, 60_000.0),
            "ninep" => fraction(&mut self.ninep_fraction),
            _ => return None,
        })
    }
}

impl BackendSettings {
    fn setting(&mut self, field: &str) -> Option<Setting<'_>> {
        Some(match field {
            "big-share" => fraction(&mut self.big_fraction),
            "big-cores" => Count(&mut self.big_cores, 1, 64),
            "big-speed" => Span(&mut self.big_speed, 0.01, 100.0),
            "small-cores" => Count(&mut self.small_cores, 1, 64),
            "small-speed" => Span(&mut self.small_speed, 0.01, 100.0),
            "slots" => Count(&mut self.concurrent_requests, 1, 1024),
            "queue" => Count(&mut self.queue_length, 0, 100_000),
            "connections" => Count(&mut self.max_connections, 1, 100_000),
            "handshake-ms" => Number(&mut self.handshake_ms, 0.0, 1000.0),
            "thrash" => Number(&mut self.contention, 0.0, 10.0),
            "remembers" => Count(&mut self.cache_entries, 0, 1000),
            "saved" => fraction(&mut self.cache_saving),
            "put-off" => fraction(&mut self.deferred_fraction),
            "flush-s" => Span(&mut self.flush_s, 0.01, MAX_SECONDS),
            "pause-every-s" => Span(&mut self.pause_every_s, 0.01, 1e6),
            "pause-ms" => Span(&mut self.pause_ms, 0.0, 60_000.0),
            "start-capacity" => Number(&mut self.start_capacity, 0.01, 1.0),
            "restart-s" => Number(&mut self.restart_s, 0.0, MAX_SECONDS),
            "warm-s" => Number(&mut self.warm_up_s, 0.1, MAX_SECONDS),
            "warm-requests" => Number(&mut self.warm_up_requests, 1.0, 1e6),
            "tip-multiple" => Number(&mut self.overload_multiple, 0.1, 1000.0),
            "fall-s" => Number(&mut self.overload_window_s, 0.01, 60.0),
            "drops-cancelled" => Flag(&mut self.drops_cancelled),
            _ => return None,
        })
    }
}

impl NetworkSettings {
    fn setting(&mut self, field: &str) -> Option<Setting<'_>> {
        Some(match field {
            "latency-ms" => Span(&mut self.latency_ms, 0.0, 10_000.0),
            "jitter-ms" => Number(&mut self.jitter_ms, 0.0, 10_000.0),
            "dial-ms" => Number(&mut self.dial_ms, 1.0, 60_000.0),
            "idle-s" => Number(&mut self.idle_s, 0.1, MAX_SECONDS),
            _ => return None,
        })
    }
}

impl HeadRules {
    fn setting(&mut self, field: &str) -> Option<Setting<'_>> {
        Some(match field {
            "drain-grace-ms" => Number(&mut self.drain_grace_ms, 0.0, 60_000.0),
            "attempts" => Count(&mut self.max_attempts, 1, 255),
            "max-open" => Count(&mut self.max_open_requests, 1, 1_000_000),
            _ => return None,
        })
    }
}

impl ClassSpec {
    fn setting(&mut self, field: &str) -> Option<Setting<'_>> {
        Some(match field {
            "share" => Number(&mut self.share, 0.0, 1.0),
            "work-ms" => Span(&mut self.work_ms, 0.0, 60_000.0),
            "work-sigma" => Number(&mut self.work_sigma, 0.0, 3.0),
            "aim-ms" => Number(&mut self.latency_objective_ms, 1.0, 60_000.0),
            "deadline-ms" => Number(&mut self.deadline_ms, 50.0, 60_000.0),
            "worth" => Number(&mut self.priority_weight, 0.0, 1000.0),
            "late" => Number(&mut self.past_objective_fraction, 0.0, 1.0),
            "repeat" => Flag(&mut self.is_idempotent),
            _ => return None,
        })
    }
}

impl PlanSpec {
    fn setting(&mut self, field: &str) -> Option<Setting<'_>> {
        Some(match field {
            "share" => Number(&mut self.share, 0.0, 1.0),
            "size" => Number(&mut self.size, 0.01, 1000.0),
            "reserve" => Number(&mut self.reserve, 0.0, 10.0),
            "weight" => Number(&mut self.weight, 0.0, 1000.0),
            "price" => Number(&mut self.price, 0.0, 1000.0),
            "surging" => Number(&mut self.surging_fraction, 0.0, 1.0),
            _ => return None,
        })
    }
}

impl Setting<'_> {
    /// Parses the values and stores them.
    fn assign(self, key: &str, values: &[&str]) -> Result<(), SettingError> {
        match (self, values) {
            (Count(count, least, most), [text]) => *count = parse_count(key, text, least, most)?,
            (Number(number, least, most), [text]) => *number = parse_number(key, text, least, most)?,
            (Span(span, least, most), [value]) => *span = [parse_number(key, value, least, most)?; 2],
            (Span(span, least, most), [from, to]) => *span = parse_span(key, from, to, least, most)?,
            (Flag(flag), [text]) => *flag = parse_flag(key, text)?,
            (Retry(retry), [text]) => *retry = parse_retry(key, text)?,
            (Span(..), values) => {
                return Err(SettingError::SpanValueCount { key: key.to_owned(), count: values.len() });
            }
            (_, values) => return Err(SettingError::ValueCount { key: key.to_owned(), count: values.len() }),
        }
        Ok(())
    }
}

fn parse_count(key: &str, text: &str, least: u64, most: u64) -> Result<u64, SettingError> {
    match text.parse::<u64>() {
        Ok(value) if (least..=most).contains(&value) => Ok(value),
        Ok(value) => Err(SettingError::CountOutOfRange { key: key.to_owned(), least, most, value }),
        Err(_) => Err(SettingError::NotACount { key: key.to_owned(), text: text.to_owned() }),
    }
}

fn parse_number(key: &str, text: &str, least: f64, most: f64) -> Result<f64, SettingError> {
    match text.parse::<f64>() {
        Ok(value) if (least..=most).contains(&value) => Ok(value),
        Ok(value) => Err(SettingError::OutOfRange { key: key.to_owned(), least, most, value }),
        Err(_) => Err(SettingError::NotANumber { key: key.to_owned(), text: text.to_owned() }),
    }
}

fn parse_span(key: &str, from: &str, to: &str, least: f64, most: f64) -> Result<random::Span, SettingError> {
    let span = [parse_number(key, from, least, most)?, parse_number(key, to, least, most)?];
    if span[1] < span[0] {
        let (key, from, to) = (key.to_owned(), from.to_owned(), to.to_owned());
        return Err(SettingError::SpanReversed { key, from, to });
    }
    Ok(span)
}

fn parse_flag(key: &str, text: &str) -> Result<bool, SettingError> {
    text.parse().map_err(|_| SettingError::NotABoolean { key: key.to_owned(), text: text.to_owned() })
}

fn parse_retry(key: &str, text: &str) -> Result<RetryPolicy, SettingError> {
    match text {
        "none" => Ok(RetryPolicy::None),
        "at-once" => Ok(RetryPolicy::AtOnce),
        "wait" => Ok(RetryPolicy::Wait),
        _ => Err(SettingError::NotARetryPolicy { key: key.to_owned(), text: text.to_owned() }),
    }
}
