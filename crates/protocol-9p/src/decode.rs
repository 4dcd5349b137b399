//! Bytes to messages. Every length is checked against the bytes that are there.

use crate::message_type as types;
use crate::{MAX_WALK_NAMES, MalformedMessage, Message, Qid};
use bytes::Bytes;

/// The fewest bytes of a frame: its length, its type and its tag.
const MIN_FRAME_BYTES: u32 = 7;
/// Bytes of a directory entry in front of its name.
const STAT_FIELDS_BYTES: usize = 41;

/// The length of a frame in bytes, read from its first four, which it includes.
///
/// # Errors
///
/// It is shorter than any message, or longer than `msize`.
pub fn frame_length(head: [u8; 4], msize: u32) -> Result<usize, MalformedMessage> {
    let size = u32::from_le_bytes(head);
    if (MIN_FRAME_BYTES..=msize).contains(&size) { Ok(size as usize) } else { Err(MalformedMessage) }
}

/// The type and the tag of a frame without its length, which even an unknown message has.
///
/// # Errors
///
/// The frame is too short for them.
pub fn peek_type_and_tag(frame: &[u8]) -> Result<(u8, u16), MalformedMessage> {
    FrameReader(frame).type_and_tag()
}

/// The name in a directory entry as `Twstat` carries it; empty: left as it is.
///
/// # Errors
///
/// The entry is cut off, or the name is not UTF-8.
pub fn stat_name(stat: &[u8]) -> Result<String, MalformedMessage> {
    let mut entry = FrameReader(stat);
    entry.take(STAT_FIELDS_BYTES)?;
    entry.text()
}

impl Message {
    /// Reads a frame without its length: the tag and the message.
    ///
    /// # Errors
    ///
    /// The type is unknown, a field is cut off or is no text, a list is too long, or bytes are left over.
    pub fn decode(frame: &[u8]) -> Result<(u16, Message), MalformedMessage> {
        let mut frame = FrameReader(frame);
        let (message_type, tag) = frame.type_and_tag()?;
        let message = frame.message(message_type)?;
        if frame.0.is_empty() { Ok((tag, message)) } else { Err(MalformedMessage) }
    }
}

/// What is left of a frame.
struct FrameReader<'a>(&'a [u8]);

impl<'a> FrameReader<'a> {
    fn type_and_tag(&mut self) -> Result<(u8, u16), MalformedMessage> {
        Ok((self.u8()?, self.u16()?))
    }

    /// The fields of a message, in the order in which they are written here.
    fn message(&mut self, message_type: u8) -> Result<Message, MalformedMessage> {
        Ok(match message_type {
            types::TVERSION => Message::Tversion { msize: self.u32()?, version: self.text()? },
            types::RVERSION => Message::Rversion { msize: self.u32()?, version: self.text()? },
            types::TAUTH => Message::Tauth { afid: self.u32()?, uname: self.text()?, aname: self.text()? },
            types::TATTACH => Message::Tattach {
                fid: self.u32()?,
                afid: self.u32()?,
                uname: self.text()?,
                aname: self.text()?,
            },
            types::RATTACH => Message::Rattach { qid: self.qid()? },
            types::RERROR => Message::Rerror { ename: self.text()? },
            types::TFLUSH => Message::Tflush { oldtag: self.u16()? },
            types::RFLUSH => Message::Rflush,
            types::TWALK => {
                Message::Twalk { fid: self.u32()?, newfid: self.u32()?, names: self.list(Self::text)? }
            }
            types::RWALK => Message::Rwalk { qids: self.list(Self::qid)? },
            types::TOPEN => Message::Topen { fid: self.u32()?, mode: self.u8()? },
            types::ROPEN => Message::Ropen { qid: self.qid()?, iounit: self.u32()? },
            types::TCREATE => {
                Message::Tcreate { fid: self.u32()?, name: self.text()?, perm: self.u32()?, mode: self.u8()? }
            }
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

    fn text(&mut self) -> Result<String, MalformedMessage> {
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

    /// A list of names or qids, which a walk bounds.
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
