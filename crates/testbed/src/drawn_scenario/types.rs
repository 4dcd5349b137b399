//! What is drawn for a test run: backends, volumes and requests.

use sedgerun_policy::Micros;

/// Sizes of requests in units, and how often each comes, in hundredths.
pub const REQUEST_SIZES: [(u8, u32); 5] = [(1, 35), (2, 30), (3, 20), (4, 10), (6, 5)];
/// The mean size of a request, units.
pub const MEAN_UNITS: f64 = 2.25;
/// The size of the largest request, units.
pub const MAX_UNITS: u8 = 6;

/// The hardware of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSpec {
    /// Its cores.
    pub cores: u64,
    /// Their speed, millionths of the reference core's.
    pub speed: u64,
    /// The shard that it serves.
    pub shard: u32,
}

impl BackendSpec {
    /// Its speed over all cores, as a multiple of one reference core's.
    pub fn power(&self) -> f64 {
        self.cores as f64 * self.speed as f64 / 1e6
    }

    /// Its speed over all cores, in millionths of the reference core's: a weight for draws.
    pub fn weight(&self) -> f64 {
        (self.cores * self.speed) as f64
    }
}

/// A volume.
#[derive(Clone, Debug, PartialEq)]
pub struct Volume {
    /// Its id on the wire.
    pub id: u64,
    /// Position of its plan.
    pub plan: usize,
    /// Heads that its requests come through.
    pub heads: Vec<u16>,
    /// Shards that hold its data.
    pub shards: Vec<u32>,
    /// Its usual requests a second.
    pub rate: f64,
    /// Whether its clients speak 9P.
    pub speaks_ninep: bool,
}

/// Which shard a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// This shard.
    Shard(u32),
    /// A new object: any shard.
    NewObject,
    /// The shard that the new object of an earlier arrival (its position) was written to; the given shard, where that
    /// is not known.
    WithWrite(u32, u32),
}

/// One request, which comes at its time whatever became of others.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it comes, in microseconds from the start.
    pub at: Micros,
    /// Position of its volume.
    pub volume: u32,
    /// Position of its class.
    pub class: u8,
    /// Its size.
    pub units: u8,
    /// Its work on a core of speed 1, us.
    pub work: u64,
    /// The item of data that it reads or writes.
    pub key: u64,
    /// The head that it comes to.
    pub head: u16,
    /// The shard that it belongs to.
    pub placement: Placement,
}
