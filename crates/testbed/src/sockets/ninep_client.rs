//! A client over 9P: it walks to a file, opens it, reads or writes it and clunks it.

use super::ninep_files::{LARGE_BYTES, UNIT_BYTES, file_name, parse_file_name, parse_rejection, receive};
use crate::auditor::Ticket;
use crate::figures::RequestResult;
use sedgerun_policy::Micros;
use sedgerun_protocol_9p::{MAX_MESSAGE_SIZE, Message, NO_FID, NO_TAG, VERSION};
use std::io;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The fid that a session attaches as, and the one that it walks to a file.
const ROOT_FID: u32 = 0;
const FILE_FID: u32 = 1;
/// The tag of all calls, of which a session makes one at a time.
const TAG: u16 = 1;

/// How a client's attempt ended, over HTTP or 9P.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientAttemptEnd {
    /// What the answer means to the client.
    pub result: RequestResult,
    /// The ticket in the answer, where the attempt was served.
    pub served: Option<Ticket>,
    /// The wait that a rejection advises, us.
    pub retry_after: Micros,
}

impl ClientAttemptEnd {
    /// The end of an attempt that was not served.
    pub fn not_served(result: RequestResult) -> ClientAttemptEnd {
        ClientAttemptEnd { result, served: None, retry_after: 0 }
    }

    /// The end of an attempt that was rejected.
    pub fn rejected(retry_after: Micros) -> ClientAttemptEnd {
        ClientAttemptEnd { result: RequestResult::Rejected, served: None, retry_after }
    }

    /// The end of an attempt that was served with the answer of a ticket.
    pub fn served(ticket: Ticket) -> ClientAttemptEnd {
        ClientAttemptEnd { result: RequestResult::InTime, served: Some(ticket), retry_after: 0 }
    }
}

/// What a session is to do with a request's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOperation {
    /// Read so many units.
    Read(u8),
    /// Read a large file.
    ReadLarge,
    /// Write so many units.
    Write(u8),
    /// Write a large file.
    WriteLarge,
}

impl FileOperation {
    fn mode(self) -> u8 {
        u8::from(matches!(self, FileOperation::Write(_) | FileOperation::WriteLarge))
    }

    fn message(self) -> Message {
        match self {
            FileOperation::Read(units) => read_message(u32::from(units) * UNIT_BYTES),
            FileOperation::ReadLarge => read_message(LARGE_BYTES),
            FileOperation::Write(units) => write_message(u32::from(units) * UNIT_BYTES),
            FileOperation::WriteLarge => write_message(LARGE_BYTES),
        }
    }
}

fn read_message(count: u32) -> Message {
    Message::Tread { fid: FILE_FID, offset: 0, count }
}

fn write_message(count: u32) -> Message {
    Message::Twrite { fid: FILE_FID, offset: 0, data: vec![b'a'; count as usize].into() }
}

/// A client's session at a head.
pub struct Session {
    stream: TcpStream,
}

impl Session {
    /// Connects and attaches to an export; the advised wait (us) where the head rejects it.
    pub async fn begin(address: SocketAddr, export: &str) -> io::Result<Result<Session, Micros>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut session = Session { stream };
        let version = Message::Tversion { msize: MAX_MESSAGE_SIZE, version: VERSION.into() };
        session.call(NO_TAG, &version).await?;
        let attach =
            Message::Tattach { fid: ROOT_FID, afid: NO_FID, uname: "r".into(), aname: export.into() };
        match session.call(TAG, &attach).await? {
            Message::Rattach { .. } => Ok(Ok(session)),
            Message::Rerror { ename } if parse_rejection(&ename).is_some() => {
                Ok(Err(parse_rejection(&ename).unwrap_or(0)))
            }
            other => Err(io::Error::other(format!("{other:?}"))),
        }
    }

    async fn call(&mut self, tag: u16, message: &Message) -> io::Result<Message> {
        self.stream.write_all(&message.encode(tag)).await?;
        Ok(receive(&mut self.stream).await?.1)
    }

    /// Reads or writes a request's file; how it ended.
    pub async fn run(&mut self, ticket: Ticket, operation: FileOperation) -> io::Result<ClientAttemptEnd> {
        let names = vec![file_name(ticket)];
        let calls = [
            Message::Twalk { fid: ROOT_FID, newfid: FILE_FID, names },
            Message::Topen { fid: FILE_FID, mode: operation.mode() },
            operation.message(),
        ];
        let mut end = ClientAttemptEnd::not_served(RequestResult::Failed);
        let mut has_walked = false;
        for call in calls {
            match self.call(TAG, &call).await? {
                Message::Rwalk { .. } => has_walked = true,
                Message::Ropen { .. } => {}
                Message::Rread { data } => {
                    let answered = std::str::from_utf8(&data).ok().and_then(parse_file_name);
                    end = ClientAttemptEnd::served(answered.unwrap_or(Ticket::MAX));
                }
                Message::Rwrite { .. } => end = ClientAttemptEnd::served(ticket),
                Message::Rerror { ename } => {
                    if let Some(retry_after) = parse_rejection(&ename) {
                        end = ClientAttemptEnd::rejected(retry_after);
                    }
                    break;
                }
                other => return Err(io::Error::other(format!("{other:?}"))),
            }
        }
        if has_walked {
            self.call(TAG, &Message::Tclunk { fid: FILE_FID }).await?;
        }
        Ok(end)
    }
}
