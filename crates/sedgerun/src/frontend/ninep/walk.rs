//! Walking to a file: `Twalk`.

use super::NinePFrontend;
use super::error::NinePError;
use super::fids::Fid;
use super::session::Operation;
use crate::backend::ninep::FileOperation;
use sedgerun_protocol_9p::Message;

/// The most names in a path.
const MAX_PATH_NAMES: usize = 512;
/// The most bytes in a path, with one for each name as its separator.
const MAX_PATH_BYTES: usize = 4096;

impl NinePFrontend {
    /// Walks along `names` from a fid's file, and creates a fid for the file at the end if every name was
    /// found.
    pub(super) async fn walk(
        &self,
        operation: &Operation,
        number: u32,
        new_number: u32,
        names: Vec<String>,
    ) -> Result<Message, NinePError> {
        let (fids, limits) = (&operation.session.fids, self.fid_limits());
        let from = fids.get(number)?;
        from.check_not_open()?;
        if new_number != number {
            fids.check_available(new_number, limits)?;
        }
        let path = resolve_path(&from.path, &names)?;
        let mut to = Fid { path, handle: self.new_handle(), ..from.clone() };
        fids.check_memory(new_number, &to, limits)?;
        let steps = names.len();
        let reply = if steps == 0 {
            Message::Rwalk { qids: Vec::new() }
        } else {
            self.submit(operation, &from, FileOperation::Walk { names }).await?
        };
        if let Message::Rwalk { qids } = &reply
            && qids.len() == steps
        {
            if let Some(qid) = qids.last() {
                to.file = Some((*qid).into());
            }
            // Another operation of the session may have used the number in the meantime.
            if new_number != number {
                fids.check_available(new_number, limits)?;
            }
            fids.check_memory(new_number, &to, limits)?;
            fids.insert(new_number, to);
        }
        Ok(reply)
    }
}

/// The path that `names` lead to from `from`.
fn resolve_path(from: &[String], names: &[String]) -> Result<Vec<String>, NinePError> {
    if names.iter().any(|name| name.is_empty() || name.contains('/')) {
        return Err(NinePError::MalformedName);
    }
    let mut path = from.to_vec();
    for name in names {
        match name.as_str() {
            "." => {}
            ".." => drop(path.pop()),
            name => path.push(name.to_owned()),
        }
    }
    check_path_size(&path)?;
    Ok(path)
}

/// Checks the number of names in a path, and its bytes.
pub(super) fn check_path_size(path: &[String]) -> Result<(), NinePError> {
    let bytes: usize = path.iter().map(|name| name.len() + 1).sum();
    if path.len() > MAX_PATH_NAMES || bytes > MAX_PATH_BYTES {
        return Err(NinePError::PathTooDeep);
    }
    Ok(())
}
