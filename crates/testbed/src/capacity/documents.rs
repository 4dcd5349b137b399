//! The records of scale runs: found, read and validated.

use super::error::CapacityError;
use super::validation::{DocumentError, validate};
use crate::scale::results::{DataPath, FORMAT, Fault, Point, ScaleResults, Start};
use serde::Deserialize;
use std::ffi::OsStr;
use std::io::Read;
use std::path::{Path, PathBuf};

/// The largest document, bytes.
const MAX_FILE_BYTES: u64 = 16 << 20;
/// The most documents.
const MAX_DOCUMENTS: usize = 256;

/// Before or after the mechanism that the page is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResultSet {
    /// Documents in a directory named `before`.
    Before,
    /// All others.
    After,
}

impl ResultSet {
    /// Both, in order.
    pub const ALL: [ResultSet; 2] = [ResultSet::Before, ResultSet::After];

    /// Its name in markers, and that of its directory.
    pub fn name(self) -> &'static str {
        match self {
            ResultSet::Before => "before",
            ResultSet::After => "after",
        }
    }

    /// The set of that name.
    pub fn named(name: &str) -> Option<ResultSet> {
        ResultSet::ALL.into_iter().find(|set| set.name() == name)
    }

    fn of(path: &Path) -> ResultSet {
        match path.parent().and_then(Path::file_name) {
            Some(name) if name == OsStr::new(ResultSet::Before.name()) => ResultSet::Before,
            _ => ResultSet::After,
        }
    }
}

/// One document.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Its file, without the directories above it.
    pub file: String,
    /// The set that it belongs to.
    pub set: ResultSet,
    /// What it holds.
    pub results: ScaleResults,
}

/// All documents, in the order of their set and file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Documents(pub Vec<Document>);

impl Documents {
    /// Reads documents. Of a directory, its own `*.json` and those of its directories `before` and `after`.
    ///
    /// # Errors
    /// A path that cannot be read, and any document that is not valid, with the place in it.
    pub fn load(paths: &[PathBuf]) -> Result<Documents, CapacityError> {
        let mut files = Vec::new();
        for path in paths {
            find_files(path, &mut files)?;
        }
        files.sort();
        files.dedup();
        if files.len() > MAX_DOCUMENTS {
            let reason = format!("the {}th document, at most {MAX_DOCUMENTS}", files.len());
            return Err(CapacityError::document(&files[MAX_DOCUMENTS], reason));
        }
        let mut documents: Vec<Document> = files.iter().map(|path| load(path)).collect::<Result<_, _>>()?;
        documents.sort_by(|a, b| (a.set, &a.file).cmp(&(b.set, &b.file)));
        Ok(Documents(documents))
    }

    /// The documents of a set.
    pub fn of(&self, set: ResultSet) -> impl Iterator<Item = &ScaleResults> {
        self.0.iter().filter(move |document| document.set == set).map(|document| &document.results)
    }

    /// The steady loads of a set.
    pub fn points(&self, set: ResultSet) -> impl Iterator<Item = &Point> {
        self.of(set).flat_map(|results| &results.points)
    }

    /// The starts of a set.
    pub fn starts(&self, set: ResultSet) -> impl Iterator<Item = &Start> {
        self.of(set).flat_map(|results| &results.starts)
    }

    /// The injected faults of a set.
    pub fn faults(&self, set: ResultSet) -> impl Iterator<Item = &Fault> {
        self.of(set).flat_map(|results| &results.faults)
    }

    /// The data path of a set.
    pub fn data_path(&self, set: ResultSet) -> impl Iterator<Item = &DataPath> {
        self.of(set).flat_map(|results| &results.data_path)
    }
}

fn find_files(path: &Path, files: &mut Vec<PathBuf>) -> Result<(), CapacityError> {
    let failed = |error: std::io::Error| CapacityError::io(path, &error);
    if !std::fs::metadata(path).map_err(failed)?.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    let sets = ResultSet::ALL.map(|set| path.join(set.name()));
    for directory in [path.to_owned()].into_iter().chain(sets.into_iter().filter(|set| set.is_dir())) {
        for entry in std::fs::read_dir(&directory).map_err(failed)? {
            let file = entry.map_err(failed)?.path();
            if file.extension() == Some(OsStr::new("json")) {
                files.push(file);
            }
        }
    }
    Ok(())
}

/// The format alone, so that a document of another format is refused for that and not for its keys.
#[derive(Deserialize)]
struct Header {
    format: u64,
}

fn load(path: &Path) -> Result<Document, CapacityError> {
    let results =
        parse(&read_bounded(path)?).map_err(|error| CapacityError::document(path, error.to_string()))?;
    let file = path.file_name().map_or_else(String::new, |name| name.to_string_lossy().into_owned());
    Ok(Document { file, set: ResultSet::of(path), results })
}

fn read_bounded(path: &Path) -> Result<String, CapacityError> {
    let failed = |error: std::io::Error| CapacityError::io(path, &error);
    let file = std::fs::File::open(path).map_err(failed)?;
    let mut text = String::new();
    let read = file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text).map_err(failed)?;
    if read as u64 > MAX_FILE_BYTES {
        return Err(CapacityError::document(path, format!("over {MAX_FILE_BYTES} bytes")));
    }
    Ok(text)
}

/// Reads and validates one document. An error names the line and column, or the key.
pub fn parse(text: &str) -> Result<ScaleResults, DocumentError> {
    let header: Header = serde_json::from_str(text)?;
    if header.format != u64::from(FORMAT) {
        return Err(DocumentError::Format(header.format));
    }
    let results: ScaleResults = serde_json::from_str(text)?;
    validate(&results)?;
    Ok(results)
}
