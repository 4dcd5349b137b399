//! Discovery: the list of bricks, and watches on it, as PROTOCOL-sedgerun.md describes.

use crate::http::{Head, respond};
use crate::listen;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// A brick as the list names it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub shard: u32,
    pub lifecycle: &'static str,
    /// When it started, in Unix time in milliseconds; 0 for long ago.
    pub started_at_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"hala-a\",\"machineType\":\"mala\",\"cell\":{},\
             \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
            self.id, self.address, self.shard, self.lifecycle, self.started_at_ms
        )
    }
}

/// A whole list as JSON.
pub fn list_json(generation: u64, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"generation\":{generation},\"reset\":true,\"instances\":[{}]}}", entries.join(","))
}

type List = (u64, Vec<Entry>);

/// Discovery on a port of its own.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Discovery {
    /// Serves a list.
    pub fn start(entries: Vec<Entry>) -> Discovery {
        let (listener, address) = listen();
        let discovery = Discovery { address, list: Arc::new((Mutex::new((41, entries)), Condvar::new())) };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = served.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// Puts another list in place.
    pub fn set(&self, entries: Vec<Entry>) {
        let (list, changed) = &*self.list;
        let mut list = list.lock().expect("the list");
        *list = (list.0 + 1, entries);
        changed.notify_all();
    }

    /// The list as JSON, for `known`.
    pub fn json(&self) -> String {
        let list = self.list.0.lock().expect("the list");
        list_json(list.0, &list.1)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader) {
            let number = |name: &str| -> Option<u64> {
                let rest = head.first_line.split(name).nth(1)?;
                rest.split(['&', ' ']).next()?.parse().ok()
            };
            let (since, wait) = (number("since="), Duration::from_millis(number("timeout_ms=").unwrap_or(0)));
            let (list, changed) = &*self.list;
            let held = list.lock().expect("the list");
            let is_old = |list: &mut List| since == Some(list.0);
            let (held, _) = changed.wait_timeout_while(held, wait, is_old).expect("the list");
            let body = if since == Some(held.0) {
                format!("{{\"generation\":{},\"reset\":false,\"instances\":[]}}", held.0)
            } else {
                list_json(held.0, &held.1)
            };
            drop(held);
            if respond(&mut writer, "200 OK", "Content-Type: application/json\r\n", body.as_bytes()).is_err()
            {
                return;
            }
        }
    }
}
