//! Draws backends, volumes and every request of a test run from a scenario and a seed. Pure, so that the simulator and
//! the test bed on sockets play the same requests.
//!
//! `types` says what is drawn, `draw` draws it: the backends itself, the volumes by `volumes`, the settings of
//! the heads by `platform_settings` and the requests by `traffic`. Logarithms come from `libm` through
//! `rand_distr`, not from the machine's mathematics library, so that a seed gives the same draw on every machine. The
//! order of the draws is part of every digest of a test run.

mod draw;
mod platform_settings;
mod traffic;
pub mod types;
mod volumes;

pub use draw::DrawnScenario;
