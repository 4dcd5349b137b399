//! Encodes messages. Strings and directory entries that exceed the range of their length field are truncated.

use crate::{Message, Qid};

/// The size of a frame's length field. The length includes the field itself.
const LENGTH_BYTES: usize = 4;
/// The maximum size in bytes of a string or directory entry: their length fields have 16 bits.
const MAX_STRING_BYTES: usize = u16::MAX as usize;

impl Message {
    /// Encodes a complete frame: its length, type, tag and fields.
    pub fn encode(&self, tag: u16) -> Vec<u8> {
        let mut frame = FrameWriter(vec![0; LENGTH_BYTES]);
        frame.u8(self.message_type()).u16(tag);
        self.encode_fields(&mut frame);
        let mut frame = frame.0;
        let length = frame.len() as u32;
        frame[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        frame
    }

    fn encode_fields(&self, frame: &mut FrameWriter) {
        match self {
            Message::Tversion { msize, version } | Message::Rversion { msize, version } => {
                frame.u32(*msize).string(version)
            }
            Message::Tauth { afid, uname, aname } => frame.u32(*afid).string(uname).string(aname),
            Message::Tattach { fid, afid, uname, aname } => {
                frame.u32(*fid).u32(*afid).string(uname).string(aname)
            }
            Message::Rattach { qid } => frame.qid(qid),
            Message::Rerror { ename } => frame.string(ename),
            Message::Tflush { oldtag } => frame.u16(*oldtag),
            Message::Twalk { fid, newfid, names } => frame.u32(*fid).u32(*newfid).names(names),
            Message::Rwalk { qids } => frame.qids(qids),
            Message::Topen { fid, mode } => frame.u32(*fid).u8(*mode),
            Message::Ropen { qid, iounit } | Message::Rcreate { qid, iounit } => frame.qid(qid).u32(*iounit),
            Message::Tcreate { fid, name, perm, mode } => frame.u32(*fid).string(name).u32(*perm).u8(*mode),
            Message::Tread { fid, offset, count } => frame.u32(*fid).u64(*offset).u32(*count),
            Message::Rread { data } => frame.data(data),
            Message::Twrite { fid, offset, data } => frame.u32(*fid).u64(*offset).data(data),
            Message::Rwrite { count } => frame.u32(*count),
            Message::Tclunk { fid } | Message::Tremove { fid } | Message::Tstat { fid } => frame.u32(*fid),
            Message::Rstat { stat } => frame.stat(stat),
            Message::Twstat { fid, stat } => frame.u32(*fid).stat(stat),
            Message::Rflush | Message::Rclunk | Message::Rremove | Message::Rwstat => frame,
        };
    }
}

/// A frame under construction.
struct FrameWriter(Vec<u8>);

impl FrameWriter {
    fn u8(&mut self, value: u8) -> &mut Self {
        self.0.push(value);
        self
    }

    fn u16(&mut self, value: u16) -> &mut Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn u32(&mut self, value: u32) -> &mut Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn u64(&mut self, value: u64) -> &mut Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    /// Appends a string, truncated at a character boundary if it is too long.
    fn string(&mut self, string: &str) -> &mut Self {
        let string = &string[..string.floor_char_boundary(MAX_STRING_BYTES)];
        self.u16(string.len() as u16);
        self.0.extend(string.as_bytes());
        self
    }

    fn data(&mut self, data: &[u8]) -> &mut Self {
        self.u32(data.len() as u32);
        self.0.extend(data);
        self
    }

    /// Appends a directory entry, truncated if it is too long.
    fn stat(&mut self, stat: &[u8]) -> &mut Self {
        let stat = &stat[..stat.len().min(MAX_STRING_BYTES)];
        self.u16(stat.len() as u16);
        self.0.extend(stat);
        self
    }

    fn qid(&mut self, qid: &Qid) -> &mut Self {
        self.u8(qid.kind).u32(qid.version).u64(qid.path)
    }

    fn names(&mut self, names: &[String]) -> &mut Self {
        self.u16(names.len() as u16);
        for name in names {
            self.string(name);
        }
        self
    }

    fn qids(&mut self, qids: &[Qid]) -> &mut Self {
        self.u16(qids.len() as u16);
        for qid in qids {
            self.qid(qid);
        }
        self
    }
}
