//! Codec of the file protocol 9P2000: encodes and decodes messages. It performs no I/O.
//!
//! Messages and their fields have the names of the protocol's manual. The crate does not check the order of
//! messages or their meaning; that is left to the clients and servers that use it.

mod decode;
mod encode;
mod message;
mod message_type;

pub use decode::{frame_length, peek_type_and_tag, stat_name};
pub use message::{Message, Qid};

use thiserror::Error;

/// The protocol version, as `Tversion` and `Rversion` carry it.
pub const VERSION: &str = "9P2000";
/// The maximum overhead in bytes of a message that carries file data (IOHDRSZ in the manual).
pub const IO_HEADER_SIZE: u32 = 24;
/// The maximum size of a message in bytes: 64 KiB of data and the overhead.
pub const MAX_MESSAGE_SIZE: u32 = 64 * 1024 + IO_HEADER_SIZE;
/// The value of a fid field that refers to no fid (NOFID in the manual).
pub const NO_FID: u32 = u32::MAX;
/// The tag of a version message (NOTAG in the manual).
pub const NO_TAG: u16 = u16::MAX;
/// The maximum number of names in one walk (MAXWELEM in the manual).
pub const MAX_WALK_NAMES: usize = 16;
/// Open mode: mask of the bits that select read, write, both or execute.
pub const MODE_ACCESS_MASK: u8 = 3;
/// Open mode: write access.
pub const MODE_WRITE: u8 = 1;
/// Open mode: truncate the file on open.
pub const MODE_TRUNCATE: u8 = 0x10;
/// Open mode: remove the file when its fid is clunked.
pub const MODE_REMOVE_ON_CLOSE: u8 = 0x40;
/// The bit of a qid's kind that marks a directory.
pub const QID_DIRECTORY: u8 = 0x80;
/// The bits of a qid's kind that follow from the file's mode, which a `Twstat` can change: append only, exclusive use, and
/// temporary.
pub const QID_MODE_MASK: u8 = 0x64;

/// A frame or directory entry that does not follow the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("malformed 9P message")]
pub struct MalformedMessage;
