//! The command `capacity`: the capacity page, printed, written or checked.

use super::errors::fault_of;
use sedgerun_config::Faults;
use sedgerun_testbed::capacity::{self, CapacityArguments, Outcome};
use std::io::Write;

/// Works out the page; false where a page that is checked differs.
pub fn run(arguments: &CapacityArguments) -> Result<bool, Faults> {
    match capacity::run(arguments).map_err(fault_of)? {
        // Not `print!`, which panics where the reader has closed its end.
        Outcome::Printed(tables) => std::io::stdout().write_all(tables.as_bytes()).map_err(fault_of)?,
        Outcome::Same | Outcome::Written => (),
        Outcome::Differs(difference) => {
            eprintln!("{difference}");
            return Ok(false);
        }
    }
    Ok(true)
}
