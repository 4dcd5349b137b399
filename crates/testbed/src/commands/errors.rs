//! Errors of commands, as the program prints them.

use sedgerun_config::Faults;

/// Any error as a fault without a key or place: its text.
pub fn fault_of(error: impl ToString) -> Faults {
    Faults::one("", error.to_string(), None)
}
