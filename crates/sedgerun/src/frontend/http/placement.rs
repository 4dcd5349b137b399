//! The `X-Placement` header: which volume a request counts for, and where it is stored.

/// The largest shard number, and the most heads, that a request can name.
const MOST_SHARD: i64 = 65_535;
const MOST_HEADS: f64 = 65_535.0;

/// What `X-Placement` says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Placement {
    /// The volume that the request counts for.
    pub(super) volume: u64,
    /// Units of work that the request counts.
    pub(super) units: f64,
    /// The shard that stores the item, where it is stored in one.
    pub(super) shard: Option<u32>,
    /// Heads through which the volume is used.
    pub(super) heads: f64,
}

impl Placement {
    /// Reads `volume=…,units=…,shard=…,hosts=…`, each once; `None` where it is malformed.
    pub(super) fn parse(text: &str, most_units: f64) -> Option<Placement> {
        let (mut volume, mut units, mut shard, mut heads) = (None, None, None, None);
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value = value.trim();
            let repeated = match name.trim() {
                "volume" => volume.replace(parse_hexadecimal(value)?).is_some(),
                // More than a request can count would empty its volume's token buckets for long.
                "units" => units.replace(parse_count(value, most_units.max(1.0))?).is_some(),
                "shard" => shard.replace(parse_shard(value)?).is_some(),
                "hosts" => heads.replace(parse_count(value, MOST_HEADS)?).is_some(),
                _ => false,
            };
            if repeated {
                return None;
            }
        }
        Some(Placement { volume: volume?, units: units?, shard: u32::try_from(shard?).ok(), heads: heads? })
    }
}

/// Reads 16 hexadecimal digits.
pub(super) fn parse_hexadecimal(text: &str) -> Option<u64> {
    let is_hexadecimal = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_hexadecimal { u64::from_str_radix(text, 16).ok() } else { None }
}

/// Reads a whole number from 1 to `most`.
fn parse_count(text: &str, most: f64) -> Option<f64> {
    text.parse::<u32>().ok().map(f64::from).filter(|count| (1.0..=most).contains(count))
}

/// Reads a shard's number; -1 stands for none.
fn parse_shard(text: &str) -> Option<i64> {
    text.parse::<i64>().ok().filter(|shard| (-1..=MOST_SHARD).contains(shard))
}
