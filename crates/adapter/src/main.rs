//! Runs one or more instances of the decision module for a simulator: reads frames of events from standard
//! input and writes frames of actions to standard output. Exits with status 0 at the end of input; on an
//! error, prints one line to standard error and exits with status 1.

use sedgerun_adapter::wire::{ActionFrame, Record, WireError, read_batch};
use sedgerun_policy::{Action, Controller, Micros};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use thiserror::Error;

/// Why the adapter stops before the end of input.
#[derive(Debug, Error)]
enum AdapterError {
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

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    while let Some(body) = read_frame(input)? {
        let batch = read_batch(&body)?;
        let mut actions = ActionFrame::default();
        for (instance, record) in batch.records {
            instances.handle_record(batch.now, instance, record, &mut actions);
        }
        output.write_all(&actions.encode())?;
        output.flush()?;
    }
    Ok(())
}

/// The running instances of the decision module.
#[derive(Default)]
struct Instances {
    /// By the number of the instance on the wire.
    controllers: BTreeMap<u16, Controller>,
    /// The actions for one event; empty between events. Kept here to reuse its allocation.
    actions: Vec<Action>,
}

impl Instances {
    /// Applies a record to its instance and appends the resulting actions to the frame. An event for an
    /// instance that is not running is dropped.
    fn handle_record(&mut self, now: Micros, instance: u16, record: Record, frame: &mut ActionFrame) {
        match record {
            Record::Start { seed, settings } => {
                self.controllers.insert(instance, Controller::new(*settings, seed));
            }
            Record::Stop => {
                self.controllers.remove(&instance);
            }
            Record::Event(event) => {
                if let Some(controller) = self.controllers.get_mut(&instance) {
                    controller.handle(now, event, &mut self.actions);
                }
                self.actions.drain(..).for_each(|action| frame.push(instance, &action));
            }
            Record::Ignored => {}
        }
    }
}

/// Reads the body of the next frame; returns `None` at the end of input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
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
