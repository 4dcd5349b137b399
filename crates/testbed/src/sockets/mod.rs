//! The test bed on sockets: a scenario against real `sedgerun` processes on loopback, over HTTP and 9P. Backends run the
//! same model as in the simulator, in real time; discovery speaks the platform's protocol.
//!
//! All parts share one `test_bed`, on one thread. `run` starts the emulated backends (`listeners`, `backends`),
//! the discovery server (`discovery`) and the heads (`heads`), and plays the requests of the `clients` and the
//! script.

mod backends;
mod clients;
mod discovery;
mod error;
mod heads;
mod http_server;
mod listeners;
mod ninep_client;
mod ninep_files;
mod ninep_server;
mod run;
mod test_bed;

pub use error::TestBedError;
pub use run::play;
