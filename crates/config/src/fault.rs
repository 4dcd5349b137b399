//! What is wrong with a text of settings, and where: each fault in one line that names its key.

use std::fmt;

/// The most faults that are kept of one text: a reader has enough to correct with them.
pub const MAX_FAULTS: usize = 100;

/// A place in a text; both count from 1, columns in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

impl Place {
    /// The place of a byte of a text.
    pub fn of(text: &str, offset: usize) -> Place {
        let before = &text.as_bytes()[..offset.min(text.len())];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let line_start = before.iter().rposition(|byte| *byte == b'\n').map_or(0, |newline| newline + 1);
        Place { line, column: before.len() - line_start + 1 }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}, column {}", self.line, self.column)
    }
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key that is at fault; empty where the text as a whole is.
    pub key: String,
    /// The message, one line that names the key.
    pub what: String,
    /// Where it stands in the text, where that is known.
    pub place: Option<Place>,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.place {
            Some(place) => write!(formatter, "{} ({place})", self.what),
            None => formatter.write_str(&self.what),
        }
    }
}

/// All that is wrong with a text; never empty where it is an error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// A single fault.
    pub fn one(key: &str, what: impl Into<String>, place: Option<Place>) -> Faults {
        Faults(vec![Fault { key: key.to_owned(), what: what.into(), place }])
    }

    /// The same faults, with the name of the text in each message: that of its file, say.
    pub fn under(mut self, name: &str) -> Faults {
        for fault in &mut self.0 {
            let place = fault.place.take().map_or(String::new(), |place| format!(", {place}"));
            fault.what = format!("{} ({name}{place})", fault.what);
        }
        self
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let separator = if index > 0 { "; " } else { "" };
            write!(formatter, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
