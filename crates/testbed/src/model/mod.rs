//! Models of what a head works with, in whole numbers and without a clock: backends and a discovery server. The
//! simulator runs them in virtual time, the test bed on sockets in real time.

pub mod backend_parameters;
pub mod discovery_server;
pub mod simulated_backend;
