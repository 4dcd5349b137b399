//! A fleet of heads that keep tenants together, with an administration API each.

use crate::discovery::Discovery;
use crate::free_address;
use crate::head::{HeadFiles, settings};
use crate::http::{HttpMessage, call_once};
use crate::ninep::FileServer;
use crate::record::Record;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const TOKEN: &str = "at-least-sixteen-characters";

/// The addresses and files of one head of a fleet.
pub struct FleetHead {
    pub files: HeadFiles,
    pub ninep: SocketAddr,
    pub admin: SocketAddr,
}

/// Writes the files of three heads `h1`, `h2` and `h3`, whose exports lie at one brick of shard 3.
pub fn three_heads(folder: &Path, discovery: &Discovery, brick: &FileServer) -> Vec<FleetHead> {
    three_heads_with(folder, discovery, brick, 192, 1024)
}

/// The same with other limits.
pub fn three_heads_with(
    folder: &Path,
    discovery: &Discovery,
    brick: &FileServer,
    memory_mb: u64,
    sockets: u64,
) -> Vec<FleetHead> {
    let stores: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let voters: String =
        stores.iter().enumerate().map(|(index, at)| format!(" \"h{}={at}\"", index + 1)).collect();
    let head = |(index, store): (usize, &SocketAddr)| {
        let name = format!("h{}", index + 1);
        let (ninep, admin) = (free_address(), free_address());
        let config = json!({"name": name, "listen": free_address().to_string(),
            "discovery": discovery.address.to_string(), "seed": format!("8c1f30d27a5be96{index}"),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.known(), "settings": settings(3)});
        let operator = format!(
            "(ninep (listen \"{ninep}\"))\n(admin (listen \"{admin}\") (token \"{TOKEN}\"))\n\
             (box \"{}\" (address \"{}\") (shard 3))\n\
             (fleet (name \"sesvete\") (secret \"known-to-this-fleet-alone\") (listen \"{store}\")\n  (dir \"{}\")\n  \
             (voters{voters}))\n",
            brick.id,
            brick.address,
            folder.join(format!("{name}-store")).display()
        );
        FleetHead { files: HeadFiles::write(folder, &config, Some(&operator)), ninep, admin }
    };
    stores.iter().enumerate().map(head).collect()
}

impl FleetHead {
    /// A call of the administration API; `None` where no answer comes.
    pub fn call(&self, request: &str, headers: &str, body: &str, record: &Record) -> Option<HttpMessage> {
        record.line(format!("operator: {request} {} {body} at {}", headers.trim(), self.files.name));
        let answer = self.send(request, headers, body);
        let words = answer.as_ref().map_or("no answer".to_owned(), |answer| {
            let version = answer.header("fleet-version").unwrap_or("none");
            format!(
                "{}, version {version}: {}",
                answer.status(),
                String::from_utf8_lossy(&answer.body).trim()
            )
        });
        record.line(format!("head {}: answers {words}", self.files.name));
        answer
    }

    /// A change whose body is recorded by its length; the status, or `None` where no answer comes.
    pub fn change(&self, request: &str, headers: &str, body: &str, record: &Record) -> Option<u16> {
        let answer = self.send(request, headers, body);
        let status = answer.map(|answer| answer.status());
        record.line(format!("operator: {request}, {} bytes, at {}: {status:?}", body.len(), self.files.name));
        status
    }

    fn send(&self, request: &str, headers: &str, body: &str) -> Option<HttpMessage> {
        let text = format!(
            "{request} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {TOKEN}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        call_once(self.admin, &text, Duration::from_secs(3))
    }

    /// Puts the export `press` of the tenant `horvat` in place; the version at which that is settled.
    pub fn put_export(&self, tree: &str, key: &str, record: &Record) -> u64 {
        let body = json!({"tree": tree, "volume": "b1", "plan": "osnovni", "shard": 3, "readClass": "citanje",
            "writeClass": "nova-datoteka", "largeClass": "izvoz"});
        let headers = format!("Idempotency-Key: {key}\r\n");
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) {
            let answer =
                self.call("PUT /v1/tenants/horvat/exports/press", &headers, &body.to_string(), record);
            let answer = answer.filter(|answer| matches!(answer.status(), 200 | 201));
            if let Some(version) = answer.and_then(|answer| answer.header("fleet-version")?.parse().ok()) {
                return version;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        panic!("the export was not put in place")
    }

    /// Waits until this head has a version.
    pub fn wait_for(&self, version: u64, record: &Record) {
        let headers = format!("Fleet-At-Least: {version}\r\n");
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) {
            let answer = self.call("GET /v1/tenants/horvat", &headers, "", record);
            if answer.is_some_and(|answer| answer.status() == 200) {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        panic!("a head did not reach the version")
    }

    /// The tree of the export `press` and the version, as this head tells them now.
    pub fn export_tree(&self, record: &Record) -> (Option<String>, Option<u64>) {
        let Some(answer) = self.call("GET /v1/tenants/horvat", "", "", record) else { return (None, None) };
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let tree = body["exports"][0]["tree"].as_str().map(str::to_owned);
        (tree, answer.header("fleet-version").and_then(|version| version.parse().ok()))
    }

    /// Begins the fleet, once its voters answer.
    pub fn begin(&self, record: &Record) {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) {
            let (success, said) = self.files.command_line("fleet begin");
            record.line(format!("operator: sedgerun fleet begin at {}: {}", self.files.name, said.trim()));
            if success {
                return;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        panic!("the fleet did not begin")
    }
}
