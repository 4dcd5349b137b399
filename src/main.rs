//! Starts one head with the configuration that the platform names in `LB_CONFIG`, and with the operator's
//! file where `LB_OPERATOR` names one.

use sedgerun::config::Sources;
use sedgerun::head::{Head, Signals};
use std::process::ExitCode;

fn main() -> ExitCode {
    match actix_rt::System::new().block_on(run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("sedgerun: {what}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    // Before all else: a signal that nothing catches yet ends the program.
    let signals = Signals::catch()?;
    let sources = Sources::from_env()?;
    let config = sources.read()?;
    Head::new(config, sources).run(signals).await
}
