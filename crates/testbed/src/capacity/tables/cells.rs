//! What the cells of all tables have in common.

use crate::report::table;

/// A cell of a figure that no run has taken.
pub const NOT_RUN: &str = "not run";
/// The mark of a row that is over its budget.
pub const OVER: &str = "**over**";

/// A table, or a sentence where it has no rows.
pub fn or_not_run(header: &[&str], rows: Vec<Vec<String>>) -> String {
    if rows.is_empty() { "Not run.".to_owned() } else { table(header, rows) }
}
