//! Scale runs: hollow heads beside real ones on loopback, and what each role costs at growing sizes.

pub mod discovery;
pub mod process;
pub mod results;
