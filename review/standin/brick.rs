//! A brick over HTTP: it turns requests for another shard away, works on the others for some time, and answers each
//! with a body that names the request.

use crate::http::{HttpMessage, read_message};
use crate::record::Record;
use crate::{Random, discovery};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Second answers: one of so many answers comes twice, the second time so late.
#[derive(Clone, Copy, Debug)]
pub struct SecondAnswers {
    pub one_of: u64,
    pub from_us: u64,
    pub to_us: u64,
}

#[derive(Clone)]
pub struct Brick {
    pub id: String,
    pub shard: u32,
    pub address: SocketAddr,
    work_us: (u64, u64),
    seconds: Option<SecondAnswers>,
    /// How often each request id was run to its end.
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    random: Arc<Mutex<Random>>,
    record: Record,
}

/// The body of the answer to a request.
pub fn body_for(id: &str) -> String {
    format!("made for {id}\n")
}

impl Brick {
    pub fn start(
        id: &str,
        shard: u32,
        work_us: (u64, u64),
        seconds: Option<SecondAnswers>,
        seed: u64,
        record: &Record,
    ) -> Brick {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let brick = Brick {
            id: id.to_owned(),
            shard,
            address: listener.local_addr().expect("an address"),
            work_us,
            seconds,
            runs: Arc::default(),
            random: Arc::new(Mutex::new(Random::new(seed))),
            record: record.clone(),
        };
        let served = brick.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let brick = served.clone();
                std::thread::spawn(move || brick.serve(stream));
            }
        });
        brick
    }

    pub fn entry(&self) -> Value {
        discovery::entry(&self.id, self.address, self.shard)
    }

    /// How often a request was run to its end.
    pub fn runs(&self, id: &str) -> u32 {
        self.runs.lock().expect("runs").get(id).copied().unwrap_or(0)
    }

    fn draw(&self, (from, to): (u64, u64)) -> u64 {
        from + self.random.lock().expect("random").below(to - from + 1)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let writer = Arc::new(Mutex::new(writer));
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let (answer, is_served) = self.answer(&request);
            if writer.lock().expect("the writer").write_all(&answer).is_err() {
                return;
            }
            if is_served {
                self.second_answer(&request, answer, &writer);
            }
        }
    }

    /// Runs a request; its answer, and whether it was served.
    fn answer(&self, request: &HttpMessage) -> (Vec<u8>, bool) {
        let Some(id) = request.header("request-id") else {
            return (b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_vec(), false);
        };
        let shard = request.header("x-placement").and_then(|placement| {
            placement.split(',').find_map(|part| part.strip_prefix("shard="))?.parse::<i64>().ok()
        });
        if shard.is_some_and(|shard| shard >= 0 && shard != i64::from(self.shard)) {
            let refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
            return (refusal.as_bytes().to_vec(), false);
        }
        std::thread::sleep(Duration::from_micros(self.draw(self.work_us)));
        *self.runs.lock().expect("runs").entry(id.to_owned()).or_default() += 1;
        self.record.line(format!("brick {}: has run {id} ({})", self.id, request.first));
        let body = body_for(id);
        (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes(), true)
    }

    /// Writes some answers a second time, a little later, on the same connection.
    fn second_answer(&self, request: &HttpMessage, answer: Vec<u8>, writer: &Arc<Mutex<TcpStream>>) {
        let Some(seconds) = self.seconds else { return };
        if self.draw((1, seconds.one_of)) != 1 {
            return;
        }
        let late = Duration::from_micros(self.draw((seconds.from_us, seconds.to_us)));
        let (writer, record) = (Arc::clone(writer), self.record.clone());
        let (own, id) = (self.id.clone(), request.header("request-id").unwrap_or_default().to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(late);
            let written = writer.lock().expect("the writer").write_all(&answer);
            let fate = if written.is_ok() { "writes" } else { "cannot write" };
            record.line(format!(
                "brick {own}: {fate} the answer to {id} a second time, {late:?} after the first"
            ));
        });
    }
}
