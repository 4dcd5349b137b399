//! The command `demo`: a small scenario on sockets, with a live line.

use super::errors::fault_of;
use super::play::headline_table;
use indicatif::ProgressBar;
use sedgerun_config::Faults;
use sedgerun_testbed::scenario::Scenario;
use sedgerun_testbed::sockets;
use std::time::Duration;

/// Time between two redraws of the live line.
const REDRAW_EVERY: Duration = Duration::from_millis(200);

/// Plays a scenario in which one backend restarts and another drains; whether no rule broke.
pub fn run(seconds: u32) -> Result<bool, Faults> {
    let third = f64::from(seconds.max(3)) / 3.0;
    let text = format!(
        "(scenario demo (seconds {}) (heads 1) (boxes 3) (load 0.5) (clients (ninep 0.2))
           (at {third:.1} (cold (boxes 0))) (between {:.1} {:.1} (drain (boxes 1))))",
        third * 3.0,
        third * 2.0,
        third * 2.5
    );
    let scenario = Scenario::read(&text)?;
    let bar = ProgressBar::new_spinner();
    bar.enable_steady_tick(REDRAW_EVERY);
    println!("a head, three boxes, a registry and clients on loopback: {text}");
    let program = std::env::current_exe().map_err(fault_of)?;
    let watch = |live: &str| bar.set_message(live.to_owned());
    let result = sockets::play(&scenario, scenario.seed, &program, &watch).map_err(fault_of)?;
    bar.finish_and_clear();
    println!("{}", headline_table(&result));
    Ok(result["broken"] == 0)
}
