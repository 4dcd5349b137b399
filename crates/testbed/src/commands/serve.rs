//! The command `serve`: one head, as `sedgerun serve` runs it.

use sedgerun::config::Sources;
use sedgerun::{command, logging};
use sedgerun_config::Faults;
use std::process::ExitCode;

/// Runs a head until it is stopped, or until standard input ends.
pub fn serve(end_with_input: bool) -> ExitCode {
    if end_with_input {
        end_with_standard_input();
    }
    let missing = || Faults::one("LB_CONFIG", "LB_CONFIG is missing", None);
    let config = std::env::var("LB_CONFIG").map_err(|_| missing());
    let operator = std::env::var("LB_OPERATOR").ok();
    let sources = config.map(|config| Sources { config, operator });
    command::serve(sources, "info", logging::LogFormat::Human)
}

/// Ends the process when its standard input does.
fn end_with_standard_input() {
    std::thread::spawn(|| {
        // Whatever ends it, there is nobody left to serve for.
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        std::process::exit(0);
    });
}
