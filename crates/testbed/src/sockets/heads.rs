//! The heads of a test run: processes of the program, each with a configuration of its own, killed and started again.

use super::backends::EmulatedBackend;
use super::discovery::DiscoveryService;
use super::error::TestBedError;
use super::ninep_files::{LARGE_BYTES, UNIT_BYTES, export_name};
use super::test_bed::{TestBed, own_address};
use crate::drawn_scenario::types::Volume;
use crate::process;
use crate::scenario::Scenario;
use sedgerun_policy::Micros;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};

/// How often it is tried to reach a head that starts, and the time between.
const CONNECT_ATTEMPTS: usize = 200;
const CONNECT_EVERY: Duration = Duration::from_millis(10);
/// Names of the files in the folder of a head.
const CONFIG_FILE: &str = "config.json";
const OPERATOR_FILE: &str = "operator.sexp";

struct HeadProcess {
    http: SocketAddr,
    ninep: SocketAddr,
    folder: PathBuf,
    child: RefCell<Option<Child>>,
    /// Counts starts and kills: it is odd while the head runs.
    incarnation: Cell<u32>,
}

impl HeadProcess {
    fn begin_incarnation(&self) -> u32 {
        self.incarnation.set(self.incarnation.get() + 1);
        self.incarnation.get()
    }
}

/// Where a head listens, and its incarnation.
#[derive(Clone, Copy, Debug)]
pub struct HeadAddresses {
    /// Where it takes HTTP.
    pub http: SocketAddr,
    /// Where it takes 9P.
    pub ninep: SocketAddr,
    /// Its incarnation; another one is another process. It is even while the head is down.
    pub incarnation: u32,
}

/// All heads of a test run. They end with it.
pub struct HeadProcesses {
    program: PathBuf,
    folder: PathBuf,
    heads: Vec<HeadProcess>,
    discovery: Rc<DiscoveryService>,
    config: Value,
    speaks_ninep: bool,
}

/// Free ports. All are reserved until the last is found, so that none comes twice; later the heads alone bind them.
async fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut reserved = Vec::new();
    for _ in 0..count {
        reserved.push(TcpListener::bind((own_address(), 0)).await?);
    }
    reserved.iter().map(TcpListener::local_addr).collect()
}

/// The classes that operators give the requests over 9P.
struct ExportClasses<'a> {
    read: &'a str,
    write: &'a str,
    large: &'a str,
}

impl ExportClasses<'_> {
    fn of(scenario: &Scenario) -> ExportClasses<'_> {
        let classes = &scenario.classes;
        let first = |is_idempotent: bool| {
            let found = classes.iter().find(|class| class.is_idempotent == is_idempotent);
            found.unwrap_or(&classes[0]).name.as_str()
        };
        let large = classes[classes.len() - 1].name.as_str();
        ExportClasses { read: first(true), write: first(false), large }
    }
}

/// The operator's file: an export for each volume that speaks 9P and each of its shards, and all backends.
fn operator_file(test_bed: &TestBed, backends: &[Rc<EmulatedBackend>], listen: SocketAddr) -> String {
    let mut text = format!("(ninep (listen \"{listen}\") (clients 4096))\n");
    let classes = ExportClasses::of(&test_bed.scenario);
    let volumes = test_bed.drawn.volumes.iter().enumerate();
    for (i, volume) in volumes.filter(|(_, volume)| volume.speaks_ninep) {
        let plan = &test_bed.scenario.plans[volume.plan].name;
        for shard in &volume.shards {
            text.push_str(&export_form(i, volume, *shard, plan, &classes));
        }
    }
    for backend in backends {
        let (name, shard) = (backend.name(), backend.shard());
        let _ = writeln!(text, "(box \"{name}\" (address \"{}\") (shard {shard}))", backend.ninep);
    }
    text
}

fn export_form(
    position: usize,
    volume: &Volume,
    shard: u32,
    plan: &str,
    classes: &ExportClasses<'_>,
) -> String {
    let ExportClasses { read, write, large } = classes;
    format!(
        "(tenant t{position} (export \"{}\" (volume \"{:016x}\") (plan \"{plan}\") (shard {shard}) \
         (heads {}) (read-class \"{read}\") (write-class \"{write}\") (large-class \"{large}\") \
         (large-bytes {LARGE_BYTES}) (unit-bytes {UNIT_BYTES})))\n",
        export_name(position, shard),
        volume.id,
        volume.heads.len()
    )
}

/// Processor time of a process, us; 0 where it has ended.
fn cpu_time(process: u32) -> Micros {
    process::cpu_time(process).map_or(0, |time| time.as_micros() as Micros)
}

impl HeadProcesses {
    /// Starts all heads, and waits until they listen.
    pub async fn start(
        test_bed: &Rc<TestBed>,
        backends: &[Rc<EmulatedBackend>],
        discovery: &Rc<DiscoveryService>,
        program: &Path,
    ) -> Result<Rc<HeadProcesses>, TestBedError> {
        let folder = std::env::temp_dir().join(format!("sedgerun-testbed-{}", std::process::id()));
        let mut heads = Vec::new();
        let count = test_bed.scenario.heads as usize;
        let ports = free_ports(2 * count).await.map_err(TestBedError::Ports)?;
        for (number, ports) in ports.chunks_exact(2).enumerate() {
            let (http, ninep) = (ports[0], ports[1]);
            let folder = folder.join(format!("n{number}"));
            std::fs::create_dir_all(&folder).map_err(|error| file_error(&folder, error))?;
            let text = operator_file(test_bed, backends, ninep);
            std::fs::write(folder.join(OPERATOR_FILE), text).map_err(TestBedError::Write)?;
            let (child, incarnation) = (RefCell::default(), Cell::new(0));
            heads.push(HeadProcess { http, ninep, folder, child, incarnation });
        }
        let config = json!({"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": test_bed.drawn.platform_settings});
        let speaks_ninep = test_bed.drawn.volumes.iter().any(|volume| volume.speaks_ninep);
        let (program, discovery) = (program.to_owned(), Rc::clone(discovery));
        let all = Rc::new(HeadProcesses { program, folder, heads, discovery, config, speaks_ninep });
        for number in 0..count {
            all.spawn(number, test_bed.seed)?;
        }
        for number in 0..count {
            all.wait_until_listening(number).await?;
        }
        Ok(all)
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.heads.len()
    }

    /// Where a head listens, and its incarnation.
    pub fn addresses(&self, head: usize) -> HeadAddresses {
        let head = &self.heads[head];
        HeadAddresses { http: head.http, ninep: head.ninep, incarnation: head.incarnation.get() }
    }

    fn spawn(&self, number: usize, seed: u64) -> Result<(), TestBedError> {
        let head = &self.heads[number];
        let incarnation = head.begin_incarnation();
        let file = head.folder.join(CONFIG_FILE);
        let config = self.config_of(number, seed);
        std::fs::write(&file, config.to_string()).map_err(|error| file_error(&file, error))?;
        let log = std::fs::File::create(head.folder.join(format!("log-{incarnation}")));
        let mut command = Command::new(&self.program);
        command.arg("serve").env("LB_CONFIG", &file).env_remove("LB_OPERATOR").stdin(Stdio::null());
        command.stderr(log.map_err(TestBedError::Write)?).kill_on_drop(true);
        if self.speaks_ninep {
            command.env("LB_OPERATOR", head.folder.join(OPERATOR_FILE));
        }
        let child = command.spawn().map_err(|error| file_error(&self.program, error))?;
        *head.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// The platform's configuration of a head in its present incarnation.
    fn config_of(&self, number: usize, seed: u64) -> Value {
        let head = &self.heads[number];
        let mut config = self.config.clone();
        config["name"] = json!(format!("n{number}"));
        config["listen"] = json!(head.http.to_string());
        config["discovery"] = json!(self.discovery.address(number).to_string());
        config["known"] = self.discovery.cached_list(number);
        let seed = seed.wrapping_mul(0x9e37_79b9).wrapping_add((number as u64) << 20)
            + u64::from(head.incarnation.get());
        config["seed"] = json!(format!("{seed:x}"));
        config
    }

    async fn wait_until_listening(&self, number: usize) -> Result<(), TestBedError> {
        for _ in 0..CONNECT_ATTEMPTS {
            if TcpStream::connect(self.heads[number].http).await.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(CONNECT_EVERY).await;
        }
        let log = std::fs::read_to_string(self.heads[number].folder.join("log-1")).unwrap_or_default();
        Err(TestBedError::HeadNotListening { head: number, log: log.trim().to_owned() })
    }

    /// Kills a head, and starts it again after a time.
    pub fn kill(self: &Rc<Self>, number: usize, restart_after: Duration) {
        let head = &self.heads[number];
        let Some(mut child) = head.child.borrow_mut().take() else { return };
        head.begin_incarnation();
        let _ = child.start_kill();
        let all = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let _ = child.wait().await;
            tokio::time::sleep(restart_after).await;
            // One that does not start again shows as requests that are lost.
            let _ = all.spawn(number, u64::from(all.heads[number].incarnation.get()));
        });
    }

    /// Ends all heads, and removes what was written for them; returns the CPU time that they took, us.
    pub async fn stop(&self) -> Micros {
        let mut total = 0;
        for head in &self.heads {
            let child = head.child.borrow_mut().take();
            if let Some(mut child) = child {
                total += child.id().map_or(0, cpu_time);
                let _ = child.kill().await;
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        total
    }
}

fn file_error(path: &Path, error: io::Error) -> TestBedError {
    TestBedError::File { path: path.to_owned(), error }
}
