//! What clients and backends of a test run agree on over 9P: a file is named by the ticket of its request, so that a
//! backend knows which request it serves.

use crate::auditor::Ticket;
use crate::drawn_scenario::types::{Arrival, Placement, Volume};
use sedgerun_policy::Micros;
use sedgerun_protocol_9p::{MAX_MESSAGE_SIZE, Message, frame_length};
use std::io;
use tokio::io::AsyncReadExt;

/// Bytes that count as one unit of a request.
pub const UNIT_BYTES: u32 = 1000;
/// A read of at least so many bytes is of the third class.
pub const LARGE_BYTES: u32 = 10_000;

/// Reads one message with its tag.
pub async fn receive(stream: &mut (impl AsyncReadExt + Unpin)) -> io::Result<(u16, Message)> {
    let malformed = || io::Error::new(io::ErrorKind::InvalidData, "a malformed 9P message");
    let mut head = [0; 4];
    stream.read_exact(&mut head).await?;
    let length = frame_length(head, MAX_MESSAGE_SIZE).map_err(|_| malformed())?;
    let mut frame = vec![0; length - 4];
    stream.read_exact(&mut frame).await?;
    Message::decode(&frame).map_err(|_| malformed())
}

/// The name of a request's file, which is also the answer of a backend that served it.
pub fn file_name(ticket: Ticket) -> String {
    format!("{ticket:016x}")
}

/// The ticket in the name of a file.
pub fn parse_file_name(name: &str) -> Option<Ticket> {
    Ticket::from_str_radix(name, 16).ok()
}

/// The name of the export of a volume at a shard.
pub fn export_name(volume: usize, shard: u32) -> String {
    format!("v{volume}s{shard}")
}

/// The export that an arrival's file is in. New objects go to their volume's first shard: an export is a tree at one
/// shard.
pub fn export_of(arrival: &Arrival, volume: &Volume) -> String {
    let shard = match arrival.placement {
        Placement::Shard(shard) | Placement::WithWrite(_, shard) => shard,
        Placement::NewObject => volume.shards[0],
    };
    export_name(arrival.volume as usize, shard)
}

/// The `retry after` of a rejection, us; none where an error is no rejection.
pub fn parse_rejection(ename: &str) -> Option<Micros> {
    let wait = ename.strip_prefix("refused: come back in ")?.strip_suffix(" s")?;
    Some((wait.parse::<f64>().ok()? * 1e6) as Micros)
}
