//! A backend that records each request that it receives whole, and treats some as the run's draw says.

use crate::peers::{Described, Framing, write_described};
use crate::record::{Record, Response};
use crate::scenario::{Behaviour, Draw, TROUBLES};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What all connections of a backend share.
#[derive(Clone)]
struct Shared {
    record: Arc<Record>,
    draw: Arc<Mutex<Draw>>,
    trouble_of_hundred: Arc<AtomicU64>,
}

/// A backend on loopback.
pub struct Backend {
    pub address: SocketAddr,
    trouble_of_hundred: Arc<AtomicU64>,
}

impl Backend {
    pub fn start(record: Arc<Record>, draw: Draw, trouble_of_hundred: u64) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let trouble_of_hundred = Arc::new(AtomicU64::new(trouble_of_hundred));
        let shared = Shared {
            record,
            draw: Arc::new(Mutex::new(draw)),
            trouble_of_hundred: Arc::clone(&trouble_of_hundred),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        Backend { address, trouble_of_hundred }
    }

    /// No request meets trouble from now on.
    pub fn heal(&self) {
        self.trouble_of_hundred.store(0, Ordering::SeqCst);
    }
}

/// The body by which a client knows the answer to its request.
pub fn body_of(id: &str, bytes: usize) -> Vec<u8> {
    id.bytes().cycle().take(bytes).collect()
}

impl Shared {
    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let (behaviour, pause) = {
                let mut draw = self.draw.lock().expect("numbers");
                let is_trouble = draw.chance(self.trouble_of_hundred.load(Ordering::SeqCst));
                let behaviour = if is_trouble { draw.one_of(&TROUBLES) } else { Behaviour::Sound };
                (behaviour, draw.milliseconds(0, 12))
            };
            let request = read_request(&mut reader, behaviour == Behaviour::SlowRead)?;
            if behaviour == Behaviour::Rejects {
                let refusal =
                    b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
                (&stream).write_all(refusal).ok()?;
                continue;
            }
            self.record.ran(&request.id, request.begun_at, request.told);
            thread::sleep(pause);
            self.respond(&stream, &request, behaviour)?;
        }
    }
}

/// A request that was received whole.
struct Received {
    id: String,
    begun_at: Instant,
    told: Duration,
    /// The response that its client asks for.
    asked: Described,
}

fn read_request(reader: &mut BufReader<TcpStream>, slowly: bool) -> Option<Received> {
    let (mut id, mut told, mut length) = (String::new(), 0, 0);
    let mut asked = None;
    let mut begun_at = None;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        begun_at.get_or_insert_with(Instant::now);
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        asked.get_or_insert_with(|| Described::of_request_line(line));
        let Some((name, value)) = line.split_once(": ") else { continue };
        match name.to_ascii_lowercase().as_str() {
            "request-id" => value.clone_into(&mut id),
            "request-timeout-ms" => told = value.parse().ok()?,
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    if slowly {
        for part in body.chunks_mut((length / 4).max(1)) {
            reader.read_exact(part).ok()?;
            thread::sleep(Duration::from_millis(30));
        }
    } else {
        reader.read_exact(&mut body).ok()?;
    }
    Some(Received { id, begun_at: begun_at?, told: Duration::from_millis(told), asked: asked? })
}

impl Shared {
    /// Writes a response as the behaviour says; `None` where the connection ends.
    fn respond(&self, mut stream: &TcpStream, request: &Received, behaviour: Behaviour) -> Option<()> {
        let body = body_of(&request.id, request.asked.bytes);
        let mut asked = request.asked;
        match behaviour {
            Behaviour::Silent => {
                // Until the head gives the attempt up.
                let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
                let _ = stream.read(&mut [0; 1]);
                return None;
            }
            Behaviour::Cut | Behaviour::Reset => {
                let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let _ = stream.write_all(&[length.as_bytes(), &body[..body.len() / 2]].concat());
                if behaviour == Behaviour::Reset {
                    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                }
                return None;
            }
            Behaviour::NoLength => asked.framing = Framing::Close,
            Behaviour::SlowWrite => {
                asked.lumps = asked.lumps.max(5);
                asked.written_over = asked.written_over.max(Duration::from_millis(200));
            }
            Behaviour::Sound | Behaviour::SlowRead | Behaviour::Rejects => {}
        }
        let response = Response { bytes: body.len(), has_length: asked.framing == Framing::Length };
        self.record.gives(&request.id, response);
        let on_given = |bytes| self.record.gave(&request.id, bytes);
        match write_described(stream, asked, &body, on_given) {
            Ok(()) => self.record.gave_all(&request.id),
            Err(_) => self.record.found_closed(&request.id),
        }
        (asked.framing != Framing::Close).then_some(())
    }
}
