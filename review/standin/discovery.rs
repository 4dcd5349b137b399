//! Discovery: the whole list, and watches on its changes.

use crate::http::{HttpMessage, read_message};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<(u64, Vec<Value>)>, Condvar)>,
}

/// An entry of the list.
pub fn entry(id: &str, address: SocketAddr, cell: u32) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "hala-a", "machineType": "dvojezgra",
        "cell": cell, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0})
}

impl Discovery {
    pub fn start(entries: Vec<Value>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let discovery = Discovery { address, list: Arc::new((Mutex::new((1, entries)), Condvar::new())) };
        let served = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = served.clone();
                std::thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// What `known` in a head's configuration holds.
    pub fn known(&self) -> Value {
        let list = self.list.0.lock().expect("the list");
        json!({"generation": list.0, "reset": true, "instances": list.1})
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let body = self.answer(&request);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if writer.write_all(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &HttpMessage) -> String {
        let number = |name: &str| -> Option<u64> {
            let rest = request.first.split(name).nth(1)?;
            rest.split(['&', ' ']).next()?.parse().ok()
        };
        let (lock, changed) = &*self.list;
        let mut list = lock.lock().expect("the list");
        if let Some(since) = number("since=") {
            let wait = Duration::from_millis(number("timeout_ms=").unwrap_or(0).min(60_000));
            let waited = changed.wait_timeout_while(list, wait, |list| list.0 <= since).expect("the list");
            list = waited.0;
            if list.0 <= since {
                return json!({"generation": list.0, "reset": false, "instances": []}).to_string();
            }
        }
        json!({"generation": list.0, "reset": true, "instances": list.1}).to_string()
    }
}
