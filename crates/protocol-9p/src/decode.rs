//! Decodes messages. Every length field is checked against the number of bytes left.

use crate::message_type as types;
use crate::{MAX_WALK_NAMES, MalformedMessage, Message, Qid};
use bytes::Bytes;

/// The minimum size of a frame: its length, type and tag.
const MIN_FRAME_BYTES: u32 = 7;
/// The size of the fixed fields of a directory entry, which precede its name.
const STAT_FIELDS_BYTES: usize = 41;

/// Decodes the length of a frame from its first four bytes, which the length includes.
///
/// # Errors
///
/// The length is shorter than any message, or exceeds `msize`.
pub fn frame_length(length_field: [u8; 4], msize: u32) -> Result<usize, MalformedMessage> {
    let length = u32::from_le_bytes(length_field);
    if (MIN_FRAME_BYTES..=msize).contains(&length) { Ok(length as usize) } else { Err(MalformedMessage) }
}

/// Decodes the type and the tag of a frame, given without its length field. Frames of unknown types have them
/// too.
///
/// # Errors
///
/// The frame is too short.
pub fn peek_type_and_tag(frame: &[u8]) -> Result<(u8, u16), MalformedMessage> {
    FrameReader(frame).type_and_tag()
}

/// Decodes the name in the directory entry of a `Twstat`. An empty name leaves the file's name unchanged.
///
/// # Errors
///
/// The entry is truncated, or the name is not UTF-8.
pub fn stat_name(stat: &[u8]) -> Result<String, MalformedMessage> {
    let mut entry = FrameReader(stat);
    entry.take(STAT_FIELDS_BYTES)?;
    entry.string()
}

impl Message {
    /// Decodes a frame, given without its length field; returns its tag and its message.
    ///
    /// # Errors
    ///
    /// The type is unknown, a field is truncated, a string is not UTF-8, a list is too long, or bytes follow
    /// the last field.
    pub fn decode(frame: &[u8]) -> Result<(u16, Message), MalformedMessage> {
        let mut reader = FrameReader(frame);
        let (message_type, tag) = reader.type_and_tag()?;
        let message = reader.message(message_type)?;
        if reader.0.is_empty() { Ok((tag, message)) } else { Err(MalformedMessage) }
    }
}

/// The unread bytes of a frame.
struct FrameReader<'a>(&'a [u8]);

impl<'a> FrameReader<'a> {
    fn type_and_tag(&mut self) -> Result<(u8, u16), MalformedMessage> {
        Ok((self.u8()?, self.u16()?))
    }

    /// Decodes the fields of a message. Struct expressions evaluate their fields in the order written, which
    /// is the order in the frame.
    fn message(&mut self, message_type: u8) -> Result<Message, MalformedMessage> {
        Ok(match message_type {
            types::TVERSION => Message::Tversion { msize: self.u32()?, version: self.string()? },
            types::RVERSION => Message::Rversion { msize: self.u32()?, version: self.string()? },
            types::TAUTH => {
                Message::Tauth { afid: self.u32()?, uname: self.string()?, aname: self.string()? }
            }
            types::TATTACH => Message::Tattach {
                fid: self.u32()?,
                afid: self.u32()?,
                uname: self.string()?,
                aname: self.string()?,
            },
            types::RATTACH => Message::Rattach { qid: self.qid()? },
            types::RERROR => Message::Rerror { ename: self.string()? },
            types::TFLUSH => Message::Tflush { oldtag: self.u16()? },
            types::RFLUSH => Message::Rflush,
            types::TWALK => {
                Message::Twalk { fid: self.u32()?, newfid: self.u32()?, names: self.list(Self::string)? }
            }
            types::RWALK => Message::Rwalk { qids: self.list(Self::qid)? },
            types::TOPEN => Message::Topen { fid: self.u32()?, mode: self.u8()? },
            types::ROPEN => Message::Ropen { qid: self.qid()?, iounit: self.u32()? },
            types::TCREATE => Message::Tcreate {
                fid: self.u32()?,
                name: self.string()?,
                perm: self.u32()?,
                mode: self.u8()?,
            },
            types::RCREATE => Message::Rcreate { qid: self.qid()?, iounit: self.u32()? },
            types::TREAD => Message::Tread { fid: self.u32()?, offset: self.u64()?, count: self.u32()? },
            types::RREAD => Message::Rread { data: self.data()? },
            types::TWRITE => Message::Twrite { fid: self.u32()?, offset: self.u64()?, data: self.data()? },
            types::RWRITE => Message::Rwrite { count: self.u32()? },
            types::TCLUNK => Message::Tclunk { fid: self.u32()? },
            types::RCLUNK => Message::Rclunk,
            types::TREMOVE => Message::Tremove { fid: self.u32()? },
            types::RREMOVE => Message::Rremove,
            types::TSTAT => Message::Tstat { fid: self.u32()? },
            types::RSTAT => Message::Rstat { stat: self.stat()? },
            types::TWSTAT => Message::Twstat { fid: self.u32()?, stat: self.stat()? },
            types::RWSTAT => Message::Rwstat,
            _ => return Err(MalformedMessage),
        })
    }

    fn take(&mut self, count: usize) -> Result<&'a [u8], MalformedMessage> {
        let (head, tail) = self.0.split_at_checked(count).ok_or(MalformedMessage)?;
        self.0 = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], MalformedMessage> {
        let (head, tail) = self.0.split_first_chunk().ok_or(MalformedMessage)?;
        self.0 = tail;
        Ok(*head)
    }

    fn u8(&mut self) -> Result<u8, MalformedMessage> {
        self.array().map(u8::from_le_bytes)
    }

    fn u16(&mut self) -> Result<u16, MalformedMessage> {
        self.array().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Result<u32, MalformedMessage> {
        self.array().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Result<u64, MalformedMessage> {
        self.array().map(u64::from_le_bytes)
    }

    fn string(&mut self) -> Result<String, MalformedMessage> {
        let length = usize::from(self.u16()?);
        std::str::from_utf8(self.take(length)?).map(str::to_owned).map_err(|_| MalformedMessage)
    }

    fn data(&mut self) -> Result<Bytes, MalformedMessage> {
        let length = self.u32()? as usize;
        self.take(length).map(Bytes::copy_from_slice)
    }

    fn stat(&mut self) -> Result<Bytes, MalformedMessage> {
        let length = usize::from(self.u16()?);
        self.take(length).map(Bytes::copy_from_slice)
    }

    fn qid(&mut self) -> Result<Qid, MalformedMessage> {
        Ok(Qid { kind: self.u8()?, version: self.u32()?, path: self.u64()? })
    }

    /// Decodes the list of names or qids of a walk.
    fn list<T>(
        &mut self,
        item: impl Fn(&mut Self) -> Result<T, MalformedMessage>,
    ) -> Result<Vec<T>, MalformedMessage> {
        let count = usize::from(self.u16()?);
        if count > MAX_WALK_NAMES {
            return Err(MalformedMessage);
        }
        (0..count).map(|_| item(self)).collect()
    }
}
