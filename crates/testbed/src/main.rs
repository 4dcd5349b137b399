//! The load and experiment tool: plays scenarios, repeats and sweeps them, and compares their results.

mod commands;

use clap::Parser;
use commands::Command;
use std::process::ExitCode;

/// Rehearses incidents: heads, boxes, a registry and clients in one deterministic world, or on loopback.
#[derive(Parser)]
#[command(name = "sedgerun-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    commands::run(Cli::parse().command)
}
