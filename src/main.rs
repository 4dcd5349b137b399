//! Starts one head with the configuration that the platform names in `LB_CONFIG`, and with the operator's
//! file where `LB_OPERATOR` names one.

use sedgerun::config::Config;
use sedgerun::head::Head;
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("sedgerun: {what}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let path = std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is missing")?;
    let text = std::fs::read_to_string(&path).map_err(|error| format!("LB_CONFIG: {path}: {error}"))?;
    let mut config = Config::from_json(&text)?;
    if let Ok(path) = std::env::var("LB_OPERATOR") {
        let text = std::fs::read_to_string(&path).map_err(|error| format!("LB_OPERATOR: {path}: {error}"))?;
        config.add_operator(&text)?;
    }
    actix_rt::System::new().block_on(Head::new(config).run())
}
