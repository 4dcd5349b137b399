//! The capacity page: what each role costs at a target size, worked out from the records of scale runs.
//!
//! [`documents`] reads the records and validates them, [`target`] the size to work out, [`regression`] fits a linear model to
//! one quantity, [`estimate`] applies the models to the target and its budgets, [`tables`] prints them and [`page`]
//! checks or writes them in a Markdown file.

pub mod arguments;
pub mod documents;
pub mod error;
pub mod estimate;
pub mod format;
mod outcome;
pub mod page;
pub mod quantity;
pub mod regression;
pub mod tables;
pub mod target;
mod validation;

pub use arguments::CapacityArguments;
pub use outcome::{Difference, Outcome};
pub use validation::DocumentError;

use arguments::Action;
use documents::Documents;
use error::CapacityError;
use tables::{Input, Section};
use target::Target;

/// Reads the results and the target, and prints, checks or writes the tables.
///
/// # Errors
/// Any input that cannot be read or is not valid; nothing has been written then.
pub fn run(arguments: &CapacityArguments) -> Result<Outcome, CapacityError> {
    let target = Target::load(&arguments.target)?;
    let documents = Documents::load(&arguments.results)?;
    let input = Input::new(&target, &documents);
    match arguments.action() {
        Action::Print => Ok(Outcome::Printed(Section::all().map(|section| input.titled(section)).collect())),
        Action::Check(path) => page::check(path, &input),
        Action::Write(path) => page::write(path, &input),
    }
}
