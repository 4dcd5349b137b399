//! The `X-Placement` header: the volume that a request is charged to, and the shard that stores its item.

/// The largest shard number in a request.
const MAX_SHARD: i64 = 65_535;
/// The largest number of heads in a request.
const MAX_HEADS: f64 = 65_535.0;

/// The parsed `X-Placement` header.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Placement {
    /// The volume that the request is charged to.
    pub(super) volume: u64,
    /// Units of work that the request is charged.
    pub(super) units: f64,
    /// The shard that stores the item; `None` if no shard does.
    pub(super) shard: Option<u32>,
    /// The number of heads that serve the volume.
    pub(super) heads: f64,
}

impl Placement {
    /// Parses `volume=…,units=…,shard=…,hosts=…`, each exactly once; `None` if the text is malformed.
    pub(super) fn parse(text: &str, max_units: f64) -> Option<Placement> {
        let (mut volume, mut units, mut shard, mut heads) = (None, None, None, None);
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value = value.trim();
            let repeated = match name.trim() {
                "volume" => volume.replace(parse_hexadecimal(value)?).is_some(),
                // A larger count would exhaust the volume's token buckets for a long time.
                "units" => units.replace(parse_count(value, max_units.max(1.0))?).is_some(),
                "shard" => shard.replace(parse_shard(value)?).is_some(),
                "hosts" => heads.replace(parse_count(value, MAX_HEADS)?).is_some(),
                _ => false,
            };
            if repeated {
                return None;
            }
        }
        Some(Placement { volume: volume?, units: units?, shard: u32::try_from(shard?).ok(), heads: heads? })
    }
}

/// Parses exactly 16 hexadecimal digits.
pub(super) fn parse_hexadecimal(text: &str) -> Option<u64> {
    let is_hexadecimal = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_hexadecimal { u64::from_str_radix(text, 16).ok() } else { None }
}

/// Parses an integer from 1 to `max`.
fn parse_count(text: &str, max: f64) -> Option<f64> {
    text.parse::<u32>().ok().map(f64::from).filter(|count| (1.0..=max).contains(count))
}

/// Parses a shard number; -1 means no shard.
fn parse_shard(text: &str) -> Option<i64> {
    text.parse::<i64>().ok().filter(|shard| (-1..=MAX_SHARD).contains(shard))
}
