//! Submits an operation to the dispatcher, which sends it to a backend.

use super::NinePFrontend;
use super::error::NinePError;
use super::fids::Fid;
use super::session::Operation;
use crate::backend::ninep::{FileOperation, NinePBackendRequest};
use crate::backend::{BackendRequest, BackendResponse};
use crate::tenants::Export;
use sedgerun_dispatch::{FinalResponse, RequestSpec};
use sedgerun_policy::Micros;
use sedgerun_protocol_9p::{MODE_TRUNCATE, Message};
use std::rc::Rc;

/// Time after which a client may retry a request that the dispatch service does not accept at present.
const NOT_SUBMITTED_RETRY: Micros = 100_000;

impl NinePFrontend {
    /// Submits an operation on a file to the dispatcher, and waits for the reply of a backend.
    pub(super) async fn submit(
        &self,
        operation: &Operation,
        fid: &Fid,
        op: FileOperation,
    ) -> Result<Message, NinePError> {
        let export = &fid.export;
        // Operations on an export that has been removed or changed since the attach are rejected.
        let current = self.tenants.borrow().export(&export.name);
        if current.as_ref().is_none_or(|current| current != export) {
            return Err(NinePError::ExportChanged(export.name.clone()));
        }
        let spec = self.request_spec(fid, &op);
        let backend_request = NinePBackendRequest {
            uname: Rc::clone(&fid.uname),
            tree: export.tree.clone(),
            path: fid.path.clone(),
            file: fid.file,
            handle: fid.handle,
            mode: fid.open_mode.unwrap_or_default(),
            op,
        };
        if operation.state.is_cancelled() {
            return Err(NinePError::Cancelled);
        }
        let pending = self
            .dispatch
            .submit(spec, BackendRequest::Ninep(backend_request))
            .ok_or(NinePError::Rejected { retry_after: NOT_SUBMITTED_RETRY })?;
        operation.state.request.set(Some(pending.id()));
        let response = pending.final_response().await;
        operation.state.request.set(None);
        match response {
            FinalResponse::Served(BackendResponse::Ninep(message)) => Ok(message),
            FinalResponse::Rejected(retry_after) => Err(NinePError::Rejected { retry_after }),
            _ => Err(NinePError::Failed),
        }
    }

    /// The specification of a request for the dispatcher; its deadline is the timeout of its class from now.
    fn request_spec(&self, fid: &Fid, op: &FileOperation) -> RequestSpec {
        let export = &fid.export;
        let (class, bytes) = class_and_bytes(export, op);
        let time_limit = self.config.settings.classes.get(class).map_or(0, |class| class.timeout);
        RequestSpec {
            class,
            plan: export.plan,
            key: file_key(export, &fid.path),
            deadline: self.dispatch.clock().now() + time_limit,
            volume: export.volume,
            units: export.units(bytes),
            shard: Some(export.shard),
            volume_heads: export.heads,
        }
    }
}

/// The class of an operation in an export, and the bytes of data that it transfers.
fn class_and_bytes(export: &Export, op: &FileOperation) -> (usize, u32) {
    match op {
        FileOperation::Read { count, .. } if *count >= export.large_bytes => (export.large_class, *count),
        FileOperation::Read { count, .. } => (export.read_class, *count),
        FileOperation::Write { data, .. } => (export.write_class, data.len() as u32),
        FileOperation::Open { mode } if mode & MODE_TRUNCATE != 0 => (export.write_class, 0),
        FileOperation::Create { .. } | FileOperation::Wstat { .. } | FileOperation::Remove => {
            (export.write_class, 0)
        }
        FileOperation::Attach
        | FileOperation::Walk { .. }
        | FileOperation::Open { .. }
        | FileOperation::Stat => (export.read_class, 0),
    }
}

/// The key of a file for the dispatcher: the FNV-1a hash of its tree and path.
fn file_key(export: &Export, path: &[String]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let names = std::iter::once(&export.tree).chain(path);
    let bytes = names.flat_map(|name| name.bytes().chain([0]));
    bytes.fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
