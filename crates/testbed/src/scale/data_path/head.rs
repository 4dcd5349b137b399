//! The head that is measured: a process of the program `sedgerun-testbed serve`.

use super::clients::{Answer, Traffic};
use crate::drawn_scenario::DrawnScenario;
use crate::http::HttpConnection;
use crate::process::ChildGuard;
use crate::scale::error::ScaleError;
use crate::scale::stop::StopRequest;
use crate::scenario::Scenario;
use serde_json::json;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Time in which the head must serve the last backend of its list.
const READY_WITHIN: Duration = Duration::from_secs(20);
/// Time between checks whether it does.
const READY_RETRY: Duration = Duration::from_millis(50);
/// Memory that the head may take, MiB, as its configuration says.
const MEMORY_MB: u64 = 192;
/// The scenario whose settings the head gets. Its backends are not played.
const SCENARIO: &str = "(scenario data-path (seconds 1) (heads 1) (boxes 1))";

/// The program of the head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeadProgram {
    /// `sedgerun-testbed` as this process has it: its heads end when this process does, however that ends.
    Own(PathBuf),
    /// Another, which knows `serve`.
    Other(PathBuf),
}

impl HeadProgram {
    /// The command that starts it.
    fn command(&self) -> Command {
        match self {
            HeadProgram::Own(path) => {
                let mut command = Command::new(path);
                command.args(["serve", "--end-with-input"]).stdin(Stdio::piped());
                command
            }
            HeadProgram::Other(path) => {
                let mut command = Command::new(path);
                command.arg("serve").stdin(Stdio::null());
                command
            }
        }
    }
}

fn failed(error: impl std::fmt::Display) -> ScaleError {
    ScaleError::failed("head", error)
}

/// A head with its folder; dropped, both go.
pub(super) struct HeadProcess {
    child: ChildGuard,
    folder: PathBuf,
    address: SocketAddr,
    class: String,
    plan: String,
    body_bytes: usize,
}

impl HeadProcess {
    /// Starts one that may hold so many descriptors, for requests with a body of so many bytes.
    pub(super) fn start(
        program: &HeadProgram,
        discovery: SocketAddr,
        sockets: usize,
        body_bytes: usize,
    ) -> Result<HeadProcess, ScaleError> {
        let scenario = Scenario::read(SCENARIO).map_err(failed)?;
        let drawn = DrawnScenario::draw(&scenario, 1).map_err(failed)?;
        let reads = body_bytes == 0;
        let class = scenario.classes.iter().find(|class| class.is_idempotent == reads);
        let class = class.ok_or_else(|| failed("no class of such requests"))?.name.clone();
        let plan = scenario.plans.first().ok_or_else(|| failed("no plan"))?.name.clone();
        let address = free_address().map_err(failed)?;
        let config = json!({"name": "data-path", "listen": address.to_string(),
            "discovery": discovery.to_string(), "seed": "1", "settings": drawn.platform_settings,
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": sockets}});
        let folder = std::env::temp_dir().join(format!("sedgerun-data-path-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(failed)?;
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).map_err(failed)?;
        let log = std::fs::File::create(folder.join("log")).map_err(failed)?;
        let mut command = program.command();
        command.env("LB_CONFIG", &file).env_remove("LB_OPERATOR").stderr(log);
        let child = command.spawn().map_err(failed)?;
        Ok(HeadProcess { child: ChildGuard::new(child), folder, address, class, plan, body_bytes })
    }

    /// Its process id.
    pub(super) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Requests to it, spread over so many backends.
    pub(super) fn traffic(&self, cells: usize) -> Traffic {
        Traffic {
            head: self.address,
            class: self.class.clone(),
            plan: self.plan.clone(),
            cells,
            body: vec![b'b'; self.body_bytes],
        }
    }

    /// Waits until it has served a request for the last of so many backends.
    pub(super) fn wait_until_it_serves(&self, backends: usize, stop: &StopRequest) -> Result<(), ScaleError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
        let traffic = self.traffic(backends);
        let begun = Instant::now();
        while !matches!(runtime.block_on(request_last_cell(&traffic)), Ok(Answer::Served)) {
            if begun.elapsed() > READY_WITHIN {
                let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
                let last = log.lines().last().unwrap_or("it says nothing");
                return Err(failed(format!("does not serve {backends} backends: {last}")));
            }
            stop.pause(READY_RETRY)?;
        }
        Ok(())
    }
}

/// An address at which nobody listens now.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

/// Asks once, on a connection of its own, at the last backend.
async fn request_last_cell(traffic: &Traffic) -> io::Result<Answer> {
    let mut wire = HttpConnection::new(TcpStream::connect(traffic.head).await?);
    traffic.request(&mut wire, u64::MAX, traffic.cells - 1).await
}

impl Drop for HeadProcess {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
