//! Hosts many instances of the decision module on the simulator's wire: frames on standard input, the actions
//! on standard output. Ends with 0 at the end of input, and with one line on standard error otherwise.

use sedgerun_adapter::wire::{ActionFrame, Record, WireError, read_batch};
use sedgerun_policy::{Action, Controller, Micros};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use thiserror::Error;

/// Why the host ends before the end of input.
#[derive(Debug, Error)]
enum HostError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sedgerun-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    while let Some(body) = read_frame(input)? {
        let batch = read_batch(&body)?;
        let mut actions = ActionFrame::default();
        for (instance, record) in batch.records {
            host.handle(batch.now, instance, record, &mut actions);
        }
        output.write_all(&actions.frame())?;
        output.flush()?;
    }
    Ok(())
}

/// The instances that run.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, Controller>,
    /// The actions of one event; kept for its memory.
    actions: Vec<Action>,
}

impl Host {
    /// Passes a record to its instance. An event of an instance that does not run is dropped.
    fn handle(&mut self, now: Micros, instance: u16, record: Record, frame: &mut ActionFrame) {
        match record {
            Record::Start { seed, settings } => {
                self.instances.insert(instance, Controller::new(*settings, seed));
            }
            Record::Stop => {
                self.instances.remove(&instance);
            }
            Record::Event(event) => {
                if let Some(controller) = self.instances.get_mut(&instance) {
                    controller.handle(now, event, &mut self.actions);
                }
                self.actions.drain(..).for_each(|action| frame.push(instance, &action));
            }
            Record::Ignored => {}
        }
    }
}

/// The next frame's body, or `None` at the end of input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, HostError> {
    let mut length = Vec::with_capacity(4);
    input.by_ref().take(4).read_to_end(&mut length)?;
    if length.is_empty() {
        return Ok(None);
    }
    let length: [u8; 4] = length.as_slice().try_into().map_err(|_| WireError::TruncatedLength)?;
    let expected = u32::from_le_bytes(length);
    let mut body = Vec::new();
    input.by_ref().take(u64::from(expected)).read_to_end(&mut body)?;
    if body.len() < expected as usize {
        return Err(WireError::TruncatedFrame { received: body.len(), expected }.into());
    }
    Ok(Some(body))
}
