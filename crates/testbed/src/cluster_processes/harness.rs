//! A test harness: heads of a cluster as processes on loopback.

use super::admin_client::{AdminClient, TOKEN};
use super::error::ClusterProcessError;
use crate::drawn_scenario::DrawnScenario;
use crate::scenario::Scenario;
use sedgerun::config::Sources;
use sedgerun_cluster::client;
use sedgerun_cluster::settings::Settings;
use serde_json::{Value, json};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Second octets of the clusters' own loopback addresses.
const FIRST_OWN_NETWORK: u8 = 64;
const OWN_NETWORKS: u8 = 64;
/// Ports of a head.
const PORTS: usize = 4;
/// Names in the folder of a head.
const CONFIG_FILE: &str = "config.json";
const OPERATOR_FILE: &str = "operator.sexp";
const STORE_FOLDER: &str = "store";
/// Time between checks of whatever is waited for.
const POLL_EVERY: Duration = Duration::from_millis(20);
/// A port at which nobody listens: `discard`.
const UNUSED_PORT: u16 = 9;
/// Time for whatever is waited for.
const TIMEOUT: Duration = Duration::from_secs(30);

struct HeadProcess {
    folder: PathBuf,
    admin: SocketAddr,
    operators: SocketAddr,
    child: Option<Child>,
}

/// The ports of one head.
#[derive(Clone, Copy, Debug)]
struct HeadPorts {
    cluster: SocketAddr,
    admin: SocketAddr,
    http: SocketAddr,
    operators: SocketAddr,
}

impl HeadPorts {
    fn of(listeners: &[TcpListener; PORTS]) -> io::Result<HeadPorts> {
        let [cluster, admin, http, operators] = listeners;
        Ok(HeadPorts {
            cluster: cluster.local_addr()?,
            admin: admin.local_addr()?,
            http: http.local_addr()?,
            operators: operators.local_addr()?,
        })
    }
}

/// Listeners on free ports, for one head.
fn reserve_ports() -> io::Result<[TcpListener; PORTS]> {
    let listener = || TcpListener::bind((own_address(), 0));
    Ok([listener()?, listener()?, listener()?, listener()?])
}

/// A loopback address for each process that runs a cluster: beside others on one machine, none takes a port of another
/// between its choice and the start of the head that listens there.
fn own_address() -> Ipv4Addr {
    let [high, middle, low] = [16, 8, 0].map(|shift| (std::process::id() >> shift) as u8);
    Ipv4Addr::new(127, FIRST_OWN_NETWORK + high % OWN_NETWORKS, middle, low)
}

/// What a cluster of processes is made up of.
#[derive(Clone, Debug)]
pub struct HarnessLayout {
    /// Heads that vote, which are the first.
    pub voters: usize,
    /// Heads in all.
    pub heads: usize,
    /// Where they find discovery.
    pub discovery: SocketAddr,
    /// Zones that they are spread over, in turn; none of them has one where there are none.
    pub zones: Vec<String>,
    /// The region of each zone, in the same order; none has one where there are none.
    pub regions: Vec<String>,
}

impl HarnessLayout {
    /// The form that names the zone or region of a head, with a space before it; empty where there are none.
    fn place_of(&self, form: &str, places: &[String], head: usize) -> String {
        let place = places.get(head % places.len().max(1));
        place.map_or_else(String::new, |place| format!(" ({form} \"{place}\")"))
    }
}

/// Heads as processes of a program; all end with it.
pub struct Harness {
    program: PathBuf,
    root: PathBuf,
    heads: Vec<HeadProcess>,
}

impl Harness {
    /// Starts heads, of which the first vote, and begins their cluster. They find no discovery.
    pub fn begin(program: &Path, voters: usize, heads: usize) -> Result<Harness, ClusterProcessError> {
        let discovery = SocketAddr::from((Ipv4Addr::LOCALHOST, UNUSED_PORT));
        let (zones, regions) = Default::default();
        Harness::begin_with(program, &HarnessLayout { voters, heads, discovery, zones, regions })
    }

    /// Starts the heads of a layout, and begins their cluster.
    pub fn begin_with(program: &Path, layout: &HarnessLayout) -> Result<Harness, ClusterProcessError> {
        let heads = layout.heads;
        let root = std::env::temp_dir().join(format!("sedgerun-store-{}-{heads}", std::process::id()));
        // Each port is reserved until its head starts, so that none comes twice and no connection takes it meanwhile.
        let mut reserved: Vec<[TcpListener; PORTS]> = Vec::new();
        for _ in 0..heads {
            reserved.push(reserve_ports()?);
        }
        let ports: Vec<HeadPorts> = reserved.iter().map(HeadPorts::of).collect::<io::Result<_>>()?;
        let scenario = Scenario::read("(scenario store (seconds 1) (heads 1) (boxes 1))");
        let scenario = scenario.map_err(ClusterProcessError::Settings)?;
        let drawn = DrawnScenario::draw(&scenario, 1).map_err(ClusterProcessError::Settings)?;
        let mut harness = Harness { program: program.to_owned(), root, heads: Vec::new() };
        for (head, listeners) in reserved.into_iter().enumerate() {
            harness.add_head(layout, &ports, &drawn.platform_settings)?;
            drop(listeners);
            harness.start(head)?;
        }
        let settings = harness.settings(0)?;
        harness.until("the fleet begins", |_| client::begin(&settings, "n0").ok())?;
        harness.until("a leader", Harness::leader)?;
        Ok(harness)
    }

    /// Writes the files of the next head.
    fn add_head(
        &mut self,
        layout: &HarnessLayout,
        ports: &[HeadPorts],
        platform_settings: &Value,
    ) -> Result<(), ClusterProcessError> {
        let head = self.heads.len();
        let HeadPorts { cluster, admin, http, operators } = ports[head];
        let folder = self.root.join(format!("n{head}"));
        std::fs::create_dir_all(&folder)?;
        let config = json!({"name": format!("n{head}"), "listen": http.to_string(),
            "mgmt": operators.to_string(), "discovery": layout.discovery.to_string(),
            "seed": format!("{head:x}"), "settings": platform_settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}});
        let voters: Vec<String> =
            (0..layout.voters).map(|voter| format!("\"n{voter}={}\"", ports[voter].cluster)).collect();
        let zone = layout.place_of("zone", &layout.zones, head);
        let region = layout.place_of("region", &layout.regions, head);
        let operator = format!(
            "(admin (listen \"{admin}\") (token \"{TOKEN}\"))\n(fleet (name \"demo\") \
             (secret \"known to the harness alone\") (listen \"{cluster}\") (dir \"{}\") (voters {}){zone}{region})\n",
            folder.join(STORE_FOLDER).display(),
            voters.join(" ")
        );
        std::fs::write(folder.join(CONFIG_FILE), config.to_string())?;
        std::fs::write(folder.join(OPERATOR_FILE), operator)?;
        self.heads.push(HeadProcess { folder, admin, operators, child: None });
        Ok(())
    }

    fn sources(&self, head: usize) -> Sources {
        let file = |name: &str| self.heads[head].folder.join(name).display().to_string();
        Sources { config: file(CONFIG_FILE), operator: Some(file(OPERATOR_FILE)) }
    }

    /// The settings of a head's part in the cluster.
    pub fn settings(&self, head: usize) -> Result<Settings, ClusterProcessError> {
        let config = self.sources(head).read().map_err(ClusterProcessError::Settings)?;
        config.operator.fleet.ok_or(ClusterProcessError::NoCluster)
    }

    /// Starts a head.
    pub fn start(&mut self, head: usize) -> Result<(), ClusterProcessError> {
        let Sources { config, operator } = self.sources(head);
        let log = std::fs::File::create(self.heads[head].folder.join("log"))?;
        let mut command = Command::new(&self.program);
        command.args(["serve", "--end-with-input"]);
        command.env("LB_CONFIG", config).env("LB_OPERATOR", operator.unwrap_or_default());
        let child = command.stdin(Stdio::piped()).stderr(log).spawn()?;
        self.heads[head].child = Some(child);
        let admin = self.heads[head].admin;
        self.until("a head listens", |_| TcpStream::connect(admin).ok()).map(drop)
    }

    /// Kills a head; its store stays.
    pub fn kill(&mut self, head: usize) {
        if let Some(mut child) = self.heads[head].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills a head and removes its folder's store.
    pub fn lose(&mut self, head: usize) {
        self.kill(head);
        let _ = std::fs::remove_dir_all(self.heads[head].folder.join(STORE_FOLDER));
    }

    /// Waits for something, and returns it.
    pub fn until<T>(
        &self,
        what: &str,
        check: impl Fn(&Harness) -> Option<T>,
    ) -> Result<T, ClusterProcessError> {
        let begun = Instant::now();
        loop {
            if let Some(found) = check(self) {
                return Ok(found);
            }
            if begun.elapsed() > TIMEOUT {
                let (seconds, what) = (TIMEOUT.as_secs(), what.to_owned());
                return Err(ClusterProcessError::NotInTime { seconds, what });
            }
            std::thread::sleep(POLL_EVERY);
        }
    }

    /// How many heads there are.
    pub fn count(&self) -> usize {
        self.heads.len()
    }

    /// The platform's configuration of a head.
    pub fn config_file(&self, head: usize) -> PathBuf {
        self.heads[head].folder.join("config.json")
    }

    /// The operators' address of a head.
    pub fn operators(&self, head: usize) -> SocketAddr {
        self.heads[head].operators
    }

    /// The heads that run.
    pub fn up(&self) -> Vec<usize> {
        (0..self.heads.len()).filter(|head| self.heads[*head].child.is_some()).collect()
    }

    /// A head's process.
    pub fn process(&self, head: usize) -> Option<u32> {
        self.heads[head].child.as_ref().map(Child::id)
    }

    /// A folder on the disk that the stores lie on.
    pub fn folder(&self) -> &Path {
        &self.root
    }

    /// The status of the cluster, as JSON or as a table.
    pub fn status(&self, as_json: bool) -> Option<String> {
        let head = *self.up().first()?;
        client::status(&self.settings(head).ok()?, &format!("n{head}"), as_json).ok()
    }

    fn leader_status(&self) -> Option<Value> {
        let status: Value = serde_json::from_str(&self.status(true)?).ok()?;
        status["heads"].as_array()?.iter().find(|head| head["role"] == "leader").cloned()
    }

    /// The leader.
    pub fn leader(&self) -> Option<usize> {
        self.leader_status()?["head"].as_str()?.strip_prefix('n')?.parse().ok()
    }

    /// How many vote and are up to date.
    pub fn voters(&self) -> Option<usize> {
        let leader = self.leader_status()?;
        let running: Vec<String> = self.up().iter().map(|head| format!("n{head}")).collect();
        let is_current = |voter: &&Value| {
            let head = voter["head"].as_str().unwrap_or_default();
            voter["votes"] == true
                && voter["matched"] == leader["last"]
                && running.iter().any(|name| name == head)
        };
        Some(leader["voters"].as_array()?.iter().filter(is_current).count())
    }

    /// A client of a head's administration API.
    pub fn admin_client(&self, head: usize) -> AdminClient {
        AdminClient::new(self.heads[head].admin)
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        (0..self.heads.len()).for_each(|head| self.lose(head));
        let _ = std::fs::remove_dir_all(&self.root);
    }
}
