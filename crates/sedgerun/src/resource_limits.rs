//! What the limits on memory and descriptors leave for each part of a head.

use crate::backend::http::{MAX_HEAD_BYTES, RECEIVE_BUFFER_BYTES};

/// The least bytes of an endpoint list that every head has memory for.
const MIN_LIST_BYTES: usize = 1 << 20;
/// Bytes of a list's text for each MiB of memory: a sixteenth. While it is read, the text is in memory twice.
const LIST_BYTES_PER_MIB: usize = 1 << 16;
/// Bytes of text to an entry, below which the bound on entries is met before the one on bytes.
const LIST_BYTES_PER_ENTRY: usize = 256;
/// Memory in MiB below which a head has half as many entries of the list for each MiB.
const FULL_LIST_MIB: usize = 64;
/// Memory in MiB below which a head has half as many bytes for request bodies for each MiB.
const FULL_BODIES_MIB: usize = 48;
/// Entries that every head has memory for.
const MIN_LIST_ENTRIES: usize = 4096;

/// What a head of the largest use holds of each kind, in bytes. `docs/design/memory.md` has the table with the tests.
mod holder_bytes {
    /// The program itself: code, runtime, settings and the log's queue.
    pub const PROGRAM: usize = 13 << 19;
    /// A client's connection: its task, its receive buffer and a body or a response that need no reservation.
    pub const CLIENT: usize = 12 * 1024;
    /// An open request: the state of its attempts and decisions, and a backend's receive buffer.
    pub const OPEN_REQUEST: usize = 11 * 1024;
    /// An idle connection to a backend.
    pub const BACKEND_CONNECTION: usize = 3 * 1024;
    /// An entry of the endpoint list with the state of its backend.
    pub const LIST_ENTRY: usize = 1100;
    /// A request id.
    pub const REQUEST_ID: usize = 24;
    /// All volumes with their demands.
    pub const VOLUMES: usize = 2 << 20;
    /// All callers of the management address.
    pub const MANAGEMENT: usize = 256 * 1024;
}

/// HTTP clients for each MiB of memory.
const CLIENTS_PER_MIB: usize = 14;
/// Open requests for each MiB of memory.
const OPEN_REQUESTS_PER_MIB: usize = 4;
/// Request ids that are remembered for each MiB of memory.
const REQUEST_IDS_PER_MIB: usize = 2048;
/// Bytes that the messages of 9P operations may take up at the least: two of the largest.
const MIN_NINEP_MESSAGE_BYTES: usize = 512 * 1024;
/// Bytes that requests to the administration API may take up: some of the largest size.
const ADMIN_REQUEST_BYTES: usize = 512 * 1024;

/// The largest list that a head can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListBounds {
    /// Bytes of its JSON text.
    pub bytes: usize,
    /// Its entries.
    pub entries: usize,
}

/// The bounds that follow from the limits on memory and descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// HTTP clients past which idle ones are closed. Clients have a third of the descriptors for requests; were
    /// it full of connections that stay, none would be left for those that send a request.
    pub idle_client_threshold: usize,
    /// The most HTTP clients at all; backends and discovery keep the rest of the descriptors.
    pub max_clients: usize,
    /// Descriptors that a new client leaves for backends.
    pub descriptors_for_backends: usize,
    /// Requests that memory suffices for, each with a full body on either side.
    pub max_open_requests: usize,
    /// Bytes that bodies of responses may take up on their way, all together, beyond what every request may have.
    pub response_body_bytes: usize,
    /// The largest body of a response that is received whole, in bytes; a larger one is passed on in parts.
    pub max_whole_response_bytes: usize,
    /// Bytes that heads of responses may take up, all together, beyond what every connection may have.
    pub response_head_bytes: usize,
    /// Bytes that bodies of requests may take up, all together, beyond what every connection may have.
    pub request_body_bytes: usize,
    /// Bytes that heads of requests may take up, all together, beyond what every connection may have.
    pub request_head_bytes: usize,
    /// Ids of requests that are remembered.
    pub request_ids: usize,
    /// Bytes that requests to the administration API may take up while they are received, all together.
    pub admin_request_bytes: usize,
    /// Bytes that lists of the administration API may take up while they are written, all together.
    pub admin_response_bytes: usize,
    /// Bytes that changes waiting at the administration API of a fleet's head may take up, all together.
    pub waiting_change_bytes: usize,
    /// Bytes that the tenants of a head outside a fleet may take up.
    pub tenant_bytes: usize,
    /// The largest endpoint list.
    pub list: ListBounds,
    /// The most 9P clients.
    pub ninep_clients: usize,
    /// Operations of one 9P client at once; past it the client's socket is not read.
    pub ninep_max_in_flight: usize,
    /// Bytes that the messages of 9P operations may take up, all together.
    pub ninep_message_bytes: usize,
    /// The most fids of a 9P client.
    pub ninep_fids: usize,
    /// Bytes that the fids of a 9P client may take up.
    pub ninep_fid_bytes: usize,
    /// Bytes that the attached roots at 9P backends may take up, all together.
    pub ninep_root_bytes: usize,
}

impl ResourceLimits {
    /// The bounds of a head that may have so many descriptors open and use so many MiB.
    pub fn new(sockets: usize, memory_mb: usize) -> ResourceLimits {
        let clients = (sockets / 6).max(4);
        let most_clients = (sockets * 5 / 8).min(CLIENTS_PER_MIB * memory_mb);
        let max_open_requests = OPEN_REQUESTS_PER_MIB * memory_mb;
        let list_bytes = (memory_mb * LIST_BYTES_PER_MIB).max(MIN_LIST_BYTES);
        let entries_divisor = if memory_mb < FULL_LIST_MIB { 2 } else { 1 };
        let bodies_divisor = if memory_mb < FULL_BODIES_MIB { 2 } else { 1 };
        let list_entries = (list_bytes / LIST_BYTES_PER_ENTRY / entries_divisor).max(MIN_LIST_ENTRIES);
        let ninep_clients = (sockets / 6).min(memory_mb).max(1);
        ResourceLimits {
            idle_client_threshold: clients,
            max_clients: most_clients,
            descriptors_for_backends: (sockets / 16).max(2),
            max_open_requests,
            response_body_bytes: memory_mb << 16,
            max_whole_response_bytes: memory_mb << 14,
            response_head_bytes: max_open_requests * (MAX_HEAD_BYTES - RECEIVE_BUFFER_BYTES),
            request_body_bytes: (memory_mb << 17) / bodies_divisor,
            request_head_bytes: memory_mb << 15,
            request_ids: memory_mb * REQUEST_IDS_PER_MIB,
            admin_request_bytes: ADMIN_REQUEST_BYTES,
            admin_response_bytes: memory_mb << 16,
            waiting_change_bytes: memory_mb << 17,
            tenant_bytes: memory_mb << 17,
            list: ListBounds { bytes: list_bytes, entries: list_entries },
            ninep_clients,
            ninep_max_in_flight: (memory_mb / 4).clamp(4, 64),
            ninep_message_bytes: (memory_mb << 16).max(MIN_NINEP_MESSAGE_BYTES),
            ninep_fids: (4 * memory_mb).clamp(64, 4096),
            ninep_fid_bytes: (memory_mb << 18) / ninep_clients,
            ninep_root_bytes: memory_mb << 14,
        }
    }

    /// The most that a head holds, in bytes, with all of these bounds at their most. `sockets` is the number of
    /// descriptors. The administration API, 9P and a cluster come on top, where an operator switches them on.
    pub fn most_bytes(&self, sockets: usize) -> usize {
        let backend_connections = sockets.saturating_sub(self.max_clients);
        holder_bytes::PROGRAM
            + self.max_clients * holder_bytes::CLIENT
            + self.max_open_requests * holder_bytes::OPEN_REQUEST
            + self.response_head_bytes
            + self.response_body_bytes
            + self.request_head_bytes
            + self.request_body_bytes
            + backend_connections * holder_bytes::BACKEND_CONNECTION
            + self.list.bytes
            + self.list.entries * holder_bytes::LIST_ENTRY
            + self.request_ids * holder_bytes::REQUEST_ID
            + holder_bytes::VOLUMES
            + holder_bytes::MANAGEMENT
    }
}
