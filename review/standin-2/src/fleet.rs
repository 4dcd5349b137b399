//! A fleet of heads that keep tenants together, and calls of its administration API.

use crate::free_address;
use crate::head::{Head, Start, root};
use crate::http;
use crate::settings::HeadConfig;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

const TOKEN: &str = "at-least-sixteen-characters";

/// Where a head of the fleet listens, and its files.
#[derive(Clone)]
pub struct Place {
    pub name: String,
    pub http: SocketAddr,
    pub api: SocketAddr,
    pub fleet: SocketAddr,
    pub folder: PathBuf,
}

/// Places for the heads `h1`, `h2`, ... in a folder.
pub fn places(folder: &Path, heads: usize) -> Vec<Place> {
    let place = |number: usize| {
        let name = format!("h{number}");
        let folder = folder.join(&name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Place { http: free_address(), api: free_address(), fleet: free_address(), name, folder }
    };
    (1..=heads).map(place).collect()
}

impl Place {
    /// What the head of this place is told by the platform; nobody is there as discovery.
    pub fn configuration(&self, memory_mb: u32) -> HeadConfig {
        let mut config = HeadConfig::new(self.http, SocketAddr::from(([127, 0, 0, 1], 9)));
        (config.name, config.memory_mb, config.sockets) = (self.name.clone(), memory_mb, 256);
        config
    }

    fn operator(&self, voters: &[Place]) -> String {
        let voters: Vec<String> =
            voters.iter().map(|voter| format!("\"{}={}\"", voter.name, voter.fleet)).collect();
        format!(
            "(admin (listen \"{}\") (token \"{TOKEN}\"))\n(fleet (name \"sesvete\") (secret \
             \"known-to-this-fleet-alone\") (listen \"{}\") (dir \"{}\")\n  (voters {}))\n",
            self.api,
            self.fleet,
            self.folder.join("store").display(),
            voters.join(" ")
        )
    }

    /// Starts the head of this place.
    pub fn start(&self, voters: &[Place], memory_mb: u32) -> Head {
        self.start_with(voters, &self.configuration(memory_mb))
    }

    /// Starts the head of this place with a configuration.
    pub fn start_with(&self, voters: &[Place], config: &HeadConfig) -> Head {
        let operator = Some(self.operator(voters));
        let start = Start { config: config.json(), operator, name: "head", ..Start::default() };
        Head::start(&self.folder, &start)
    }

    /// Runs `sedgerun fleet ...` with the files of this head, which has been started before; whether it succeeded, and
    /// what it said.
    pub fn command(&self, words: &[&str]) -> (bool, String) {
        let mut command = Command::new(root().join("target/release/sedgerun"));
        command.arg("fleet").args(words).current_dir(root());
        command
            .env("LB_CONFIG", self.folder.join("head.json"))
            .env("LB_OPERATOR", self.folder.join("head.sexp"));
        let output = command.output().expect("the program");
        let said = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8_lossy(&said).trim().to_owned())
    }

    /// A call of the administration API: the status and the body; `None` without an answer.
    pub fn call(&self, method: &str, path: &str, fields: &str, body: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect_timeout(&self.api, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: sesvete\r\nAuthorization: Bearer {TOKEN}\r\n{fields}Connection: \
             close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).ok()?;
        let mut reader = BufReader::new(stream);
        let head = http::Head::read(&mut reader)?;
        let mut text = vec![0; head.content_length()];
        reader.read_exact(&mut text).ok()?;
        Some((head.status(), String::from_utf8_lossy(&text).into_owned()))
    }
}
