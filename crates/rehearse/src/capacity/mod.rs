//! The capacity page: what each role costs at a target size, worked out from the records of scale runs.
//!
//! [`documents`] reads and validates the records, [`target`] the size to work out, [`regression`] fits a linear model to
//! one quantity, [`estimate`] applies the models to the target and its budgets, [`tables`] prints them and [`page`]
//! checks or writes them in a Markdown file.

pub mod documents;
pub mod error;
pub mod estimate;
pub mod format;
pub mod page;
pub mod quantity;
pub mod regression;
pub mod tables;
pub mod target;

use documents::Documents;
use error::CapacityError;
use std::path::{Path, PathBuf};
use tables::{Input, Section};
use target::Target;

/// What to do with the tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Print all of them.
    Print,
    /// Compare them with those of a page.
    Check(PathBuf),
    /// Put them into a page.
    Write(PathBuf),
}

/// What came of an [`Action`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All tables as Markdown.
    Printed(String),
    /// The page holds exactly these tables.
    Same,
    /// The page differs; the first difference.
    Differs(page::Difference),
    /// The page was written.
    Written,
}

/// Reads the results and the target, and prints, checks or writes the tables.
///
/// # Errors
/// Any input that cannot be read or is not valid; nothing has been written then.
pub fn run(results: &[PathBuf], target: &Path, action: &Action) -> Result<Outcome, CapacityError> {
    let target = Target::load(target)?;
    let documents = Documents::load(results)?;
    let input = Input::new(&target, &documents);
    match action {
        Action::Print => Ok(Outcome::Printed(Section::all().map(|section| input.titled(section)).collect())),
        Action::Check(path) => page::check(path, &input),
        Action::Write(path) => page::write(path, &input),
    }
}
