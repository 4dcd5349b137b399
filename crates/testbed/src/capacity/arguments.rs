//! The command line of `sedgerun-testbed capacity`.

use clap::Args;
use std::path::{Path, PathBuf};

/// Work out what a fleet of the target's size needs, from the records of scale runs, as Markdown tables; with --check,
/// exit status 1 where a page holds others
#[derive(Args, Clone, Debug)]
pub struct CapacityArguments {
    /// Records of scale runs: files, or directories with before/ and after/ in them
    #[arg(long, num_args = 1.., value_name = "FILE", default_value = "docs/measurements/scale")]
    pub results: Vec<PathBuf>,
    /// The size to work out
    #[arg(long, value_name = "FILE", default_value = "deploy/targets/two-years.sexp")]
    pub target: PathBuf,
    /// Compare the tables of this page
    #[arg(long, value_name = "PAGE", conflicts_with = "write")]
    pub check: Option<PathBuf>,
    /// Put the tables into this page
    #[arg(long, value_name = "PAGE")]
    pub write: Option<PathBuf>,
}

/// What to do with the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action<'a> {
    /// Print all of them.
    Print,
    /// Compare them with those of a page.
    Check(&'a Path),
    /// Put them into a page.
    Write(&'a Path),
}

impl CapacityArguments {
    /// What is asked for.
    pub fn action(&self) -> Action<'_> {
        match (&self.check, &self.write) {
            (Some(page), _) => Action::Check(page),
            (None, Some(page)) => Action::Write(page),
            (None, None) => Action::Print,
        }
    }
}
