//! The tables of the page, in Markdown.

mod cells;
mod comparison;
mod events;
mod ordinary_day;
mod roles;
mod runs;

use super::documents::{Documents, ResultSet};
use super::estimate::{Estimate, estimates};
use super::target::Target;
use std::fmt;

/// A table of both sets, or of neither.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Common {
    /// The documents.
    Runs,
    /// The measured steady loads.
    Sizes,
    /// Times and peaks beside what is promised.
    Promises,
    /// Heads that start together.
    Starts,
    /// Injected faults.
    Faults,
    /// Requests through a head.
    DataPath,
    /// Each quantity before and after.
    BeforeAfter,
    /// Rates of an ordinary day.
    OrdinaryDay,
    /// A zone lost and back.
    ZoneLost,
}

/// A table of one set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PerSet {
    /// Number and cost of each role at the target.
    Roles,
    /// The figures that have a budget, beside it.
    Budgets,
    /// What breaks first past the target.
    Limits,
    /// The models with their residuals.
    Fits,
}

/// A place in the page that holds one table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    /// A table of both sets, or of neither.
    Common(Common),
    /// A table of one set.
    PerSet(PerSet, ResultSet),
}

const COMMON: [(Common, &str); 9] = [
    (Common::Runs, "runs"),
    (Common::Sizes, "sizes"),
    (Common::Promises, "promises"),
    (Common::Starts, "starts"),
    (Common::Faults, "faults"),
    (Common::DataPath, "data-path"),
    (Common::BeforeAfter, "before-after"),
    (Common::OrdinaryDay, "ordinary-day"),
    (Common::ZoneLost, "zone-lost"),
];

const PER_SET: [(PerSet, &str); 4] = [
    (PerSet::Roles, "roles"),
    (PerSet::Budgets, "budgets"),
    (PerSet::Limits, "limits"),
    (PerSet::Fits, "fits"),
];

impl Section {
    /// All of them; a page holds each.
    pub fn all() -> impl Iterator<Item = Section> {
        let common = COMMON.into_iter().map(|(table, _)| Section::Common(table));
        let per_set = PER_SET.into_iter();
        let per_set = per_set.flat_map(|(table, _)| ResultSet::ALL.map(|set| Section::PerSet(table, set)));
        per_set.chain(common)
    }

    /// The section of that name, such as `roles after` or `runs`.
    pub fn named(name: &str) -> Option<Section> {
        Section::all().find(|section| section.to_string() == name)
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Section::Common(table) => {
                let name = COMMON.iter().find(|(known, _)| known == table).map_or("", |(_, name)| name);
                f.write_str(name)
            }
            Section::PerSet(table, set) => {
                let name = PER_SET.iter().find(|(known, _)| known == table).map_or("", |(_, name)| name);
                write!(f, "{name} {}", set.name())
            }
        }
    }
}

/// What the tables are made from.
pub struct Input<'a> {
    target: &'a Target,
    documents: &'a Documents,
    before: Vec<Estimate>,
    after: Vec<Estimate>,
}

impl<'a> Input<'a> {
    /// Fits all models once.
    pub fn new(target: &'a Target, documents: &'a Documents) -> Input<'a> {
        let estimates = |set| estimates(documents, set, target);
        Input { target, documents, before: estimates(ResultSet::Before), after: estimates(ResultSet::After) }
    }

    /// One table; a sentence where its set has no results.
    pub fn table(&self, section: Section) -> String {
        match section {
            Section::Common(Common::Runs) => runs::runs(self.documents),
            Section::Common(Common::DataPath) => runs::data_path(self.documents, self.target),
            Section::Common(Common::Sizes) => events::sizes(self.documents),
            Section::Common(Common::Promises) => events::promises(self.documents, self.target),
            Section::Common(Common::Starts) => events::starts(self.documents),
            Section::Common(Common::Faults) => events::faults(self.documents),
            Section::Common(Common::BeforeAfter) => comparison::before_after(&self.before, &self.after),
            Section::Common(Common::OrdinaryDay) => ordinary_day::ordinary_day(self.target, self.documents),
            Section::Common(Common::ZoneLost) => ordinary_day::zone_lost(self.target, self.documents),
            Section::PerSet(_, set) if self.documents.points(set).next().is_none() => {
                format!("Not run: there are no results of the set `{}`.", set.name())
            }
            Section::PerSet(PerSet::Roles, set) => roles::roles(self.estimates(set), self.target),
            Section::PerSet(PerSet::Budgets, set) => roles::budgets(self.estimates(set), self.target),
            Section::PerSet(PerSet::Limits, set) => roles::limits(self.estimates(set), self.target),
            Section::PerSet(PerSet::Fits, set) => roles::fits(self.estimates(set)),
        }
    }

    /// One table under its name.
    pub fn titled(&self, section: Section) -> String {
        format!("## {section}\n\n{}\n\n", self.table(section))
    }

    fn estimates(&self, set: ResultSet) -> &[Estimate] {
        match set {
            ResultSet::Before => &self.before,
            ResultSet::After => &self.after,
        }
    }
}
