//! The file of a run's results, and what it says of the machine and the program.

use super::error::ScaleError;
use super::results::{FORMAT, Machine, ScaleResults};
use crate::process::MachineMemory;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Command;

/// What stands for a commit that cannot be found out.
const UNKNOWN: &str = "unknown";

/// The machine that this is.
pub fn machine() -> Result<Machine, ScaleError> {
    let memory = MachineMemory::of_machine().map_err(|error| ScaleError::failed("/proc/meminfo", error))?;
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get() as u64);
    let kernel = std::fs::read_to_string("/proc/sys/kernel/osrelease");
    let kernel = kernel.map_or_else(|_| UNKNOWN.to_owned(), |text| text.trim().to_owned());
    Ok(Machine { cores, memory_bytes: memory.total_bytes, kernel })
}

/// The commit of the checkout that this program was built in, where it is still there.
pub fn commit() -> String {
    let git = |arguments: &[&str]| -> Option<String> {
        let mut command = Command::new("git");
        let output = command.current_dir(env!("CARGO_MANIFEST_DIR")).args(arguments).output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_owned())
    };
    let Some(commit) = git(&["rev-parse", "HEAD"]).filter(|commit| !commit.is_empty()) else {
        return UNKNOWN.to_owned();
    };
    let unchanged =
        git(&["status", "--porcelain", "--untracked-files=no"]).is_some_and(|text| text.is_empty());
    if unchanged { commit } else { format!("{commit}-dirty") }
}

/// The file that a run's results go to: it is checked before anything is started, and written at the end.
pub struct OutputFile {
    path: PathBuf,
    part: PathBuf,
}

impl OutputFile {
    /// Checks that results can be written to a path. A file that is there is only replaced where it holds results
    /// of an earlier run.
    pub fn check(path: &Path) -> Result<OutputFile, ScaleError> {
        let refused = |what: String| ScaleError::refused(format!("--out {}", path.display()), what);
        match std::fs::read_to_string(path) {
            Ok(text) => {
                let read: Result<ScaleResults, _> = serde_json::from_str(&text);
                let earlier = read.map_err(|error| refused(format!("is there, and no results: {error}")))?;
                if earlier.format != FORMAT {
                    return Err(refused(format!("is there, in format {}", earlier.format)));
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => {}
            Err(error) => return Err(refused(error.to_string())),
        }
        let mut name = path.file_name().ok_or_else(|| refused("names no file".into()))?.to_owned();
        name.push(format!(".{}.part", std::process::id()));
        let part = path.with_file_name(name);
        // Found out now, and not after minutes of measuring.
        std::fs::File::create_new(&part).map_err(|error| refused(error.to_string()))?;
        Ok(OutputFile { path: path.to_owned(), part })
    }

    /// Puts results in place, whole or not at all.
    pub fn write(&self, results: &ScaleResults) -> Result<(), ScaleError> {
        let failed = |error: std::io::Error| ScaleError::failed(&self.path.display().to_string(), error);
        let mut text = serde_json::to_string_pretty(results).map_err(|error| failed(error.into()))?;
        text.push('\n');
        let mut file = std::fs::File::create(&self.part).map_err(failed)?;
        file.write_all(text.as_bytes()).and_then(|()| file.sync_all()).map_err(failed)?;
        std::fs::rename(&self.part, &self.path).map_err(failed)
    }
}

impl Drop for OutputFile {
    fn drop(&mut self) {
        // It does not exist any more where results were written.
        let _ = std::fs::remove_file(&self.part);
    }
}
