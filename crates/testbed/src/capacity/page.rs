//! The tables between the markers of a Markdown page: checked against what the results give, or put in place.
//!
//! A table stands between the lines `<!-- capacity: SECTION SET -->` and `<!-- end -->`, with an empty line on each side.

use super::error::CapacityError;
use super::outcome::{Difference, Outcome};
use super::tables::{Input, Section};
use std::fs::File;
use std::io::{Read, Write};
use std::path::Path;
use thiserror::Error;

const BEGIN: &str = "<!-- capacity:";
const CLOSE: &str = "-->";
const END: &str = "<!-- end -->";
/// The largest page, bytes.
const MAX_FILE_BYTES: u64 = 8 << 20;

/// Compares the tables of a page with those of the input.
///
/// # Errors
/// A page that cannot be read, or whose markers are not valid.
pub fn check(path: &Path, input: &Input<'_>) -> Result<Outcome, CapacityError> {
    let found = read(path)?;
    let expected = render(path, &found, input)?;
    let (mut found, mut expected) = (found.lines(), expected.lines());
    for line in 1.. {
        let (expected, found) = (expected.next(), found.next());
        if expected.is_none() && found.is_none() {
            break;
        }
        if expected != found {
            let text = |line: Option<&str>| line.unwrap_or("end of the page").to_owned();
            let (expected, found) = (text(expected), text(found));
            return Ok(Outcome::Differs(Difference { path: path.to_owned(), line, expected, found }));
        }
    }
    Ok(Outcome::Same)
}

/// Puts the tables of the input into a page: into a temporary file beside it, which then takes its name.
///
/// # Errors
/// A page that cannot be read or written, or whose markers are not valid; it is as it was then.
pub fn write(path: &Path, input: &Input<'_>) -> Result<Outcome, CapacityError> {
    let page = render(path, &read(path)?, input)?;
    let name = path.file_name().map_or_else(String::new, |name| name.to_string_lossy().into_owned());
    let temporary = path.with_file_name(format!(".{name}.{}.tmp", std::process::id()));
    let written = write_synced(&temporary, &page).and_then(|()| std::fs::rename(&temporary, path));
    written.map(|()| Outcome::Written).map_err(|error| {
        // What is left of the temporary file, where there is any, must not stay; the first error is the one to tell.
        let _ = std::fs::remove_file(&temporary);
        CapacityError::io(path, &error)
    })
}

fn write_synced(path: &Path, text: &str) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}

fn read(path: &Path) -> Result<String, CapacityError> {
    let failed = |error: std::io::Error| CapacityError::io(path, &error);
    let mut text = String::new();
    let file = File::open(path).map_err(failed)?;
    let read = file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text).map_err(failed)?;
    if read as u64 > MAX_FILE_BYTES {
        return Err(CapacityError::page(path, None, format!("over {MAX_FILE_BYTES} bytes")));
    }
    Ok(text)
}

/// The page with its tables replaced.
fn render(path: &Path, text: &str, input: &Input<'_>) -> Result<String, CapacityError> {
    let fault = |line: usize, reason: String| CapacityError::page(path, Some(line), reason);
    let mut page = String::new();
    let mut present = Vec::new();
    let mut open: Option<usize> = None;
    for (line, content) in (1..).zip(text.lines()) {
        let marker = content.trim();
        if let Some(opened) = open {
            if marker.starts_with(BEGIN) {
                let reason = format!("the section opened in line {opened} is not closed by \"{END}\"");
                return Err(fault(line, reason));
            }
            if marker == END {
                open = None;
                push_line(&mut page, content);
            }
            continue;
        }
        if marker == END {
            return Err(fault(line, format!("\"{END}\" closes nothing")));
        }
        push_line(&mut page, content);
        if let Some(rest) = marker.strip_prefix(BEGIN) {
            let section = parse_marker(rest).map_err(|error| fault(line, error.to_string()))?;
            page.push_str(&format!("\n{}\n\n", input.table(section).trim_end()));
            present.push(section);
            open = Some(line);
        }
    }
    if let Some(opened) = open {
        return Err(fault(opened, format!("the section is not closed by \"{END}\"")));
    }
    match Section::all().find(|section| !present.contains(section)) {
        Some(missing) => {
            let reason = format!("the marker \"{BEGIN} {missing} {CLOSE}\" is missing");
            Err(CapacityError::page(path, None, reason))
        }
        None => Ok(page),
    }
}

fn push_line(page: &mut String, line: &str) {
    page.push_str(line);
    page.push('\n');
}

/// Why the marker of a section cannot be used.
#[derive(Debug, Error)]
enum MarkerError {
    #[error("the marker does not end with \"{CLOSE}\"")]
    NotClosed,
    #[error("section {0} is unknown")]
    UnknownSection(String),
}

fn parse_marker(rest: &str) -> Result<Section, MarkerError> {
    let name = rest.strip_suffix(CLOSE).ok_or(MarkerError::NotClosed)?.trim();
    Section::named(name).ok_or_else(|| MarkerError::UnknownSection(name.to_owned()))
}
