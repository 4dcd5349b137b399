//! Two builds of the program work on each other's data and beside each other in one cluster: the build under test, and
//! an older one in the folder that `SEDGERUN_PREVIOUS_BUILD` names. Each test runs in both directions.
//!
//! `SEDGERUN_PREVIOUS_BUILD=... cargo test --locked -p sedgerun --test mixed_builds -- --ignored --test-threads 1`

#[macro_use]
#[path = "mixed_builds/builds.rs"]
mod builds;

mod harness;

#[path = "mixed_builds/backup.rs"]
mod backup;
#[path = "mixed_builds/cluster.rs"]
mod cluster;
#[path = "mixed_builds/endpoint_list.rs"]
mod endpoint_list;
#[path = "mixed_builds/leaders.rs"]
mod leaders;
#[path = "mixed_builds/override_handover.rs"]
mod override_handover;
#[path = "mixed_builds/relays.rs"]
mod relays;
#[path = "mixed_builds/restarts.rs"]
mod restarts;
#[path = "mixed_builds/settings.rs"]
mod settings;
#[path = "mixed_builds/store.rs"]
mod store;
