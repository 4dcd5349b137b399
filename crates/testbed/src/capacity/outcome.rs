//! What a run of the command `capacity` came to.

use std::fmt;
use std::path::PathBuf;

/// What came of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All tables as Markdown.
    Printed(String),
    /// The page holds exactly these tables.
    Same,
    /// The page differs; the first difference.
    Differs(Difference),
    /// The page was written.
    Written,
}

/// The first line of a page that is not what the results give.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The page.
    pub path: PathBuf,
    /// Its line, counted from 1.
    pub line: usize,
    /// What the results give.
    pub expected: String,
    /// What the page holds.
    pub found: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Difference { path, line, expected, found } = self;
        write!(f, "{}: line {line}: expected \"{expected}\", found \"{found}\"", path.display())
    }
}
