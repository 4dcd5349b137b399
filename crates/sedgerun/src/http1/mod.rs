//! HTTP/1.1 on the wire, in bounded memory: what the front end, the administration API, the backend client and the
//! discovery client share.
//!
//! | module | job |
//! | --- | --- |
//! | `head` | parses the heads of requests and responses, with `httparse` |
//! | `body` | finds the end of a body and separates its data from its framing |
//! | `buffer` | the bytes received on a connection and not parsed yet, within a bound |
//! | `server` | a server's side of a connection: receives requests |
//! | `socket` | writes messages to a connection |
//!
//! Every byte that is received lies in a [`ReceiveBuffer`], which grows only with a memory reservation; a body is read
//! from there in parts by whoever holds it.

mod body;
mod buffer;
mod head;
mod server;
mod socket;

pub use body::{BodyDecoder, BodyError, BodyFraming, BodySegment};
pub use buffer::{BufferFull, ReceiveBuffer};
pub use head::{FieldError, Fields, HeadError, RequestHead, ResponseHead, parse_request, parse_response};
pub use server::{MAX_REQUEST_HEAD_BYTES, REQUEST_BUFFER_BYTES, ReceiveError, ServerConnection};
pub use socket::write_message;
