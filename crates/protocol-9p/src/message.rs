//! The messages of the protocol.

use crate::message_type as types;
use bytes::Bytes;

/// A server's unique identification of a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Qid {
    /// The type of the file, as a set of bits such as [`QID_DIRECTORY`](crate::QID_DIRECTORY).
    pub kind: u8,
    /// The version of the file's content.
    pub version: u32,
    /// The number of the file, unique within the server's file hierarchy.
    pub path: u64,
}

/// A message. The names of requests begin with T and those of responses with R, as in the protocol's manual.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are those of the protocol's manual")]
pub enum Message {
    Tversion { msize: u32, version: String },
    Rversion { msize: u32, version: String },
    Tauth { afid: u32, uname: String, aname: String },
    Tattach { fid: u32, afid: u32, uname: String, aname: String },
    Rattach { qid: Qid },
    Rerror { ename: String },
    Tflush { oldtag: u16 },
    Rflush,
    Twalk { fid: u32, newfid: u32, names: Vec<String> },
    Rwalk { qids: Vec<Qid> },
    Topen { fid: u32, mode: u8 },
    Ropen { qid: Qid, iounit: u32 },
    Tcreate { fid: u32, name: String, perm: u32, mode: u8 },
    Rcreate { qid: Qid, iounit: u32 },
    Tread { fid: u32, offset: u64, count: u32 },
    Rread { data: Bytes },
    Twrite { fid: u32, offset: u64, data: Bytes },
    Rwrite { count: u32 },
    Tclunk { fid: u32 },
    Rclunk,
    Tremove { fid: u32 },
    Rremove,
    Tstat { fid: u32 },
    Rstat { stat: Bytes },
    Twstat { fid: u32, stat: Bytes },
    Rwstat,
}

impl Message {
    /// The number of the message's type in a frame.
    pub(crate) fn message_type(&self) -> u8 {
        match self {
            Message::Tversion { .. } => types::TVERSION,
            Message::Rversion { .. } => types::RVERSION,
            Message::Tauth { .. } => types::TAUTH,
            Message::Tattach { .. } => types::TATTACH,
            Message::Rattach { .. } => types::RATTACH,
            Message::Rerror { .. } => types::RERROR,
            Message::Tflush { .. } => types::TFLUSH,
            Message::Rflush => types::RFLUSH,
            Message::Twalk { .. } => types::TWALK,
            Message::Rwalk { .. } => types::RWALK,
            Message::Topen { .. } => types::TOPEN,
            Message::Ropen { .. } => types::ROPEN,
            Message::Tcreate { .. } => types::TCREATE,
            Message::Rcreate { .. } => types::RCREATE,
            Message::Tread { .. } => types::TREAD,
            Message::Rread { .. } => types::RREAD,
            Message::Twrite { .. } => types::TWRITE,
            Message::Rwrite { .. } => types::RWRITE,
            Message::Tclunk { .. } => types::TCLUNK,
            Message::Rclunk => types::RCLUNK,
            Message::Tremove { .. } => types::TREMOVE,
            Message::Rremove => types::RREMOVE,
            Message::Tstat { .. } => types::TSTAT,
            Message::Rstat { .. } => types::RSTAT,
            Message::Twstat { .. } => types::TWSTAT,
            Message::Rwstat => types::RWSTAT,
        }
    }
}
