//! The orchestrator's end of a process of hollow heads.

use super::error::ScaleError;
use super::protocol::{HeadReport, HostAnswer, HostCommand, HostSpec};
use crate::process::ChildGuard;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{ChildStdin, ChildStdout, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// The hidden subcommand of `sedgerun-testbed` that runs a host.
pub const SUBCOMMAND: &str = "scale-host";
/// Time in which a host must answer: it may have thousands of heads to read on a busy machine.
const ANSWER_TIME: Duration = Duration::from_secs(60);

/// A process of hollow heads; dropped, it ends.
pub struct HostProcess {
    // Before the child, so that a host which is dropped is asked to end before it is killed.
    input: ChildStdin,
    answers: Receiver<String>,
    child: ChildGuard,
    /// The region of its heads.
    pub region: u8,
    /// The number of the zone of its heads.
    pub zone_number: u8,
    /// Its one head is a relay.
    pub is_relay: bool,
    /// Its heads.
    pub heads: u64,
}

impl HostProcess {
    /// Starts one from the program `sedgerun-testbed`, without heads.
    pub fn start(program: &Path, spec: &HostSpec) -> Result<HostProcess, ScaleError> {
        let mut command = Command::new(program);
        command.arg(SUBCOMMAND).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|error| ScaleError::failed("cannot start a host", error))?;
        let pipes = child.stdin.take().zip(child.stdout.take());
        let child = ChildGuard::new(child);
        let (input, output) = pipes.ok_or_else(|| ScaleError::failed("a host", "has no pipes"))?;
        let (region, zone_number) = (spec.region, spec.zone_number);
        let answers = read_lines(output);
        let is_relay = spec.relay;
        let mut host = HostProcess { input, answers, child, region, zone_number, is_relay, heads: 0 };
        host.write(&serde_json::to_string(spec).map_err(|error| ScaleError::failed("a host", error))?)?;
        Ok(host)
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn write(&mut self, line: &str) -> Result<(), ScaleError> {
        let written = writeln!(self.input, "{line}").and_then(|()| self.input.flush());
        written.map_err(|error| ScaleError::failed("a host has ended", error))
    }

    /// Tells it something; the answer is read by [`HostProcess::answer`].
    pub fn tell(&mut self, command: HostCommand) -> Result<(), ScaleError> {
        let line = serde_json::to_string(&command).map_err(|error| ScaleError::failed("a host", error))?;
        self.write(&line)
    }

    /// Its answer to the last command.
    pub fn answer(&mut self) -> Result<HostAnswer, ScaleError> {
        let line = self.answers.recv_timeout(ANSWER_TIME);
        let line = line.map_err(|error| ScaleError::failed("no answer of a host", error))?;
        match serde_json::from_str(&line) {
            Ok(HostAnswer::Failed(what)) => Err(ScaleError::Failed(format!("a hollow head: {what}"))),
            Ok(answer) => Ok(answer),
            Err(error) => Err(ScaleError::failed("a host's answer", error)),
        }
    }
}

/// The lines of a host's output, read on a thread that ends with the host.
fn read_lines(output: ChildStdout) -> Receiver<String> {
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines() {
            let Ok(line) = line else { return };
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    lines
}

/// Tells all of these hosts the same, at once, and waits until they have answered.
pub fn tell_all<'a>(
    hosts: impl IntoIterator<Item = &'a mut HostProcess>,
    command: HostCommand,
) -> Result<Vec<HostAnswer>, ScaleError> {
    let mut commanded = Vec::new();
    for host in hosts {
        host.tell(command)?;
        commanded.push(host);
    }
    commanded.into_iter().map(HostProcess::answer).collect()
}

/// How the heads of these hosts stand, host by host.
pub fn reports<'a>(
    hosts: impl IntoIterator<Item = &'a mut HostProcess>,
) -> Result<Vec<Vec<HeadReport>>, ScaleError> {
    let answers = tell_all(hosts, HostCommand::Report)?;
    let report = |answer| match answer {
        HostAnswer::Report(report) => Ok(report),
        other => Err(ScaleError::Failed(format!("a host answered {other:?} in place of a report"))),
    };
    answers.into_iter().map(report).collect()
}

/// When the heads of these hosts came to act on versions since this was last asked, us on the boot clock.
pub fn reached<'a>(
    hosts: impl IntoIterator<Item = &'a mut HostProcess>,
) -> Result<BTreeMap<u64, Vec<u64>>, ScaleError> {
    let mut all: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for answer in tell_all(hosts, HostCommand::Reached)? {
        let HostAnswer::Reached(reached) = answer else {
            return Err(ScaleError::Failed("a host did not say when versions were reached".into()));
        };
        for (version, times) in reached {
            all.entry(version).or_default().extend(times);
        }
    }
    Ok(all)
}
