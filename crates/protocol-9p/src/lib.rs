//! Codec of 9P2000: messages to bytes and back. Translation only, without I/O.
//!
//! Messages and their fields have the names of the protocol's manual. What a server does with them, and in which
//! order they may come, is decided by its users.

mod decode;
mod encode;
mod message;
mod message_type;

pub use decode::{frame_length, peek_type_and_tag, stat_name};
pub use message::{Message, Qid};

use thiserror::Error;

/// The version that is spoken.
pub const VERSION: &str = "9P2000";
/// Bytes of a message beyond the data that it carries, at the most (the protocol's IOHDRSZ).
pub const IO_HEADER_SIZE: u32 = 24;
/// The largest message in bytes: 64 KiB of data and its header.
pub const MAX_MESSAGE_SIZE: u32 = 64 * 1024 + IO_HEADER_SIZE;
/// No fid.
pub const NO_FID: u32 = u32::MAX;
/// The tag of a version message.
pub const NO_TAG: u16 = u16::MAX;
/// The most names in one walk.
pub const MAX_WALK_NAMES: usize = 16;
/// Open mode: the bits that say read, write, both or execute.
pub const MODE_ACCESS_MASK: u8 = 3;
/// Open mode: for writing.
pub const MODE_WRITE: u8 = 1;
/// Open mode: empty the file first.
pub const MODE_TRUNCATE: u8 = 0x10;
/// Open mode: remove the file on clunk.
pub const MODE_REMOVE_ON_CLOSE: u8 = 0x40;
/// The bit of a qid's kind that marks a directory.
pub const QID_DIRECTORY: u8 = 0x80;

/// A malformed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("malformed 9P message")]
pub struct MalformedMessage;
