//! 9P messages over a plain socket.

use sedgerun_protocol_9p::{MAX_MESSAGE_SIZE, Message, frame_length};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Reads one message; `None` at the end of the connection.
pub fn receive(stream: &mut TcpStream) -> Option<(u16, Message)> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let bytes = frame_length(length, MAX_MESSAGE_SIZE).ok()?;
    let mut frame = vec![0; bytes - length.len()];
    stream.read_exact(&mut frame).ok()?;
    Message::decode(&frame).ok()
}

/// Writes one message.
pub fn send(stream: &mut TcpStream, tag: u16, message: &Message) -> std::io::Result<()> {
    stream.write_all(&message.encode(tag))
}
