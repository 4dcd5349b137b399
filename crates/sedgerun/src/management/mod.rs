//! Operators' management address (`mgmt`): one line a connection, one answer that starts with `YES` or `NO`.
//!
//! What a line means is read by [`OperatorCommand`]; this is the socket round it, the metrics that `show-stat`
//! prints, and the hand-over of disabled backends to the next process of this head. The words and answers are read
//! by operators' scripts.

mod handover;

pub use handover::{HandoverError, read_bans};

use crate::config::Config;
use crate::dispatch_service::DispatchService;
use crate::frontend::http::HttpFrontend;
use handover::OverrideHandover;
use sedgerun_cluster::ClusterHandle;
use sedgerun_dispatch::{MAX_COMMAND_BYTES, OperatorCommand};
use sedgerun_net::{Listener, Stream};
use sedgerun_replication::state::ChangeOutcome;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Time in which a caller must send its line; one that sends nothing takes only its own place.
const LINE_TIME: Duration = Duration::from_millis(800);
/// Time in which an answer must have left.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Time between looks at the overrides that another process of this head wrote.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the next try where no caller can be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The names under which `show-stat` prints the traffic with discovery.
const DISCOVERY_TRAFFIC: [&str; 4] = [
    "discovery_bytes_received",
    "discovery_bytes_sent",
    "discovery_messages_received",
    "discovery_messages_sent",
];

/// The management address of one process.
pub struct ManagementServer {
    dispatch: Rc<DispatchService>,
    http_frontend: Rc<HttpFrontend>,
    config: Rc<Config>,
    /// The cluster that this head is a member of, where there is one.
    cluster: Option<Rc<ClusterHandle>>,
    /// This process can serve.
    pub ready: Cell<bool>,
    /// The number of callers that are connected.
    callers: Rc<Cell<usize>>,
    handover: Option<OverrideHandover>,
    /// The disabled backends have changed and could not be written for the next process yet.
    is_handover_due: Cell<bool>,
}

/// A caller's place among those that may be connected at once, until it is dropped.
struct CallerPermit(Rc<Cell<usize>>);

impl CallerPermit {
    /// Takes a place, where there is one left.
    fn acquire(callers: &Rc<Cell<usize>>, max_callers: usize) -> Option<CallerPermit> {
        if callers.get() >= max_callers {
            return None;
        }
        callers.set(callers.get() + 1);
        Some(CallerPermit(Rc::clone(callers)))
    }
}

impl Drop for CallerPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ManagementServer {
    /// A server that does not accept yet; overrides are handed over in `$TMPDIR` where it is set.
    pub fn new(
        dispatch: Rc<DispatchService>,
        http_frontend: Rc<HttpFrontend>,
        config: Rc<Config>,
        cluster: Option<Rc<ClusterHandle>>,
    ) -> Rc<ManagementServer> {
        Rc::new(ManagementServer {
            dispatch,
            http_frontend,
            config,
            cluster,
            ready: Cell::new(false),
            callers: Rc::default(),
            handover: OverrideHandover::in_temporary_folder(),
            is_handover_due: Cell::new(false),
        })
    }

    /// The most callers at once: a few of the descriptors.
    fn max_callers(&self) -> usize {
        (self.config.max_descriptors / 32).clamp(4, 32)
    }

    /// Accepts callers for as long as the future is polled.
    pub async fn serve(self: Rc<Self>, listener: Listener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            };
            // Guards against callers that connect and send nothing: those past the bound are closed at once.
            let Some(permit) = CallerPermit::acquire(&self.callers, self.max_callers()) else {
                tracing::info!("mgmt: a caller is closed unread, as many as may be are connected");
                continue;
            };
            let server = Rc::clone(&self);
            actix_rt::spawn(async move {
                server.serve_caller(stream).await;
                drop(permit);
            });
        }
    }

    async fn serve_caller(&self, mut stream: Stream) {
        let answer = match tokio::time::timeout(LINE_TIME, read_line(&stream)).await {
            Err(_) => {
                tracing::info!("mgmt: a caller sent no whole line in time");
                "NO no whole line in time\n".to_owned()
            }
            Ok(None) => return,
            Ok(Some(line)) => match OperatorCommand::parse(&line) {
                Ok(command) => self.answer(command).await,
                Err(error) => format!("NO {error}\n"),
            },
        };
        let _ = stream.write_all(answer.as_bytes(), ANSWER_TIME, |_| {}).await;
        stream.close_sending().await;
    }

    /// Carries out one command; its answer.
    pub async fn answer(&self, command: OperatorCommand) -> String {
        match command {
            OperatorCommand::Ready if self.ready.get() => "YES ready\n".to_owned(),
            OperatorCommand::Ready => "NO starting\n".to_owned(),
            OperatorCommand::ShowStat => format!("YES\n{}END\n", self.metrics()),
            OperatorCommand::Drain => self.drain(),
            OperatorCommand::Resume => self.resume(),
            OperatorCommand::Disable(id) => self.set_disabled_by_head(&id, true),
            OperatorCommand::Enable(id) => self.set_disabled_by_head(&id, false),
            OperatorCommand::ClusterDisable(id) => self.set_disabled_by_cluster(&id, true).await,
            OperatorCommand::ClusterEnable(id) => self.set_disabled_by_cluster(&id, false).await,
        }
    }

    fn drain(&self) -> String {
        self.http_frontend.is_drained.set(true);
        self.http_frontend.connections.close_idle(usize::MAX, Duration::ZERO);
        tracing::info!("mgmt: drained");
        "YES drained\n".to_owned()
    }

    fn resume(&self) -> String {
        self.http_frontend.is_drained.set(false);
        tracing::info!("mgmt: resumed");
        "YES resumed\n".to_owned()
    }

    /// Disables or enables a backend at all heads: yes means that a majority of the voters has it on disk.
    async fn set_disabled_by_cluster(&self, backend: &str, disabled: bool) -> String {
        let Some(cluster) = &self.cluster else { return "NO this head is in no fleet\n".to_owned() };
        let done = past_tense(disabled);
        match cluster.ban(backend, disabled).await {
            Ok(ChangeOutcome::Done { version, .. }) => {
                tracing::info!("mgmt: {backend} {done} at all heads");
                format!("YES {backend} {done} at all heads, version {version}\n")
            }
            Ok(ChangeOutcome::Missing(reason) | ChangeOutcome::Conflict(reason)) => format!("NO {reason}\n"),
            Ok(other) => format!("NO {other:?}\n"),
            Err(error) => format!("NO {}; it may still happen: ask again\n", error.0),
        }
    }

    /// Disables or enables a backend at this head.
    fn set_disabled_by_head(&self, id: &str, disabled: bool) -> String {
        let Some(backend) = self.dispatch.backends().names.find(id) else {
            return format!("NO no brick {id:?} is known\n");
        };
        let changed = if disabled { self.dispatch.disable(backend) } else { self.dispatch.enable(backend) };
        if let Err(error) = changed {
            return format!("NO {id}: {error}\n");
        }
        let done = past_tense(disabled);
        tracing::info!("mgmt: {id} {done}");
        self.hand_over();
        let stays_disabled = !disabled && self.dispatch.is_disabled(backend);
        let remark = if stays_disabled { " here; the fleet's ban holds" } else { "" };
        format!("YES {id} {done}{remark}\n")
    }

    /// The metrics as lines.
    pub fn metrics(&self) -> String {
        let (listed, out_of_rotation) = self.dispatch.rotation();
        let mut gauges = vec![
            ("open_requests", self.dispatch.open_requests() as u64),
            ("registry_entries", listed as u64),
            ("out_of_rotation", out_of_rotation as u64),
        ];
        gauges.extend(self.dispatch.metrics.discovery.totals().as_metrics(DISCOVERY_TRAFFIC));
        gauges.extend(self.dispatch.metrics.event_loop.as_metrics());
        gauges.push(("attempts_called_off", self.dispatch.metrics.attempts_called_off()));
        gauges.push(("ninep_replaced_files", self.dispatch.backends().ninep.replaced_files()));
        gauges.extend(self.cluster.iter().flat_map(|cluster| cluster.metrics()));
        self.dispatch.metrics.render(&self.config.classes, &gauges)
    }

    /// Hands the disabled backends over to the next process. A write that fails is repeated by
    /// [`follow_overrides`](Self::follow_overrides): what was answered YES holds over an upgrade.
    fn hand_over(&self) {
        let Some(handover) = &self.handover else { return };
        let backend_names = &self.dispatch.backends().names;
        let disabled = self.dispatch.disabled_by_head().into_iter();
        let names: Vec<String> = disabled.filter_map(|backend| backend_names.name(backend)).collect();
        self.is_handover_due.set(!handover.write(&names));
    }

    /// Takes over the backends that an earlier or later process of this head disabled, at the start and then as
    /// they change.
    pub async fn follow_overrides(self: Rc<Self>) {
        let Some(handover) = &self.handover else { return };
        loop {
            if self.is_handover_due.get() {
                self.hand_over();
            } else if let Some(names) = handover.read_if_changed() {
                let backend_names = &self.dispatch.backends().names;
                let disabled = names.iter().map(|name| backend_names.id_of(name)).collect();
                self.dispatch.set_disabled_by_head(disabled);
            }
            tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
        }
    }
}

/// How answers and the log say what was done to a backend.
fn past_tense(disabled: bool) -> &'static str {
    if disabled { "disabled" } else { "enabled" }
}

/// Reads a caller's line, its end of line left out, up to a little more than a command can have. `None` where
/// nothing came before the connection's end.
async fn read_line(stream: &Stream) -> Option<Vec<u8>> {
    let mut buffer = [0; MAX_COMMAND_BYTES + 2];
    let mut length = 0;
    while length < buffer.len() && !buffer[..length].contains(&b'\n') {
        match stream.read(&mut &mut buffer[length..]).await.ok()? {
            0 => break,
            bytes => length += bytes,
        }
    }
    if length == 0 {
        return None;
    }
    let received = &buffer[..length];
    let line = match received.iter().position(|byte| *byte == b'\n') {
        Some(end) => received[..end].strip_suffix(b"\r").unwrap_or(&received[..end]),
        None => received,
    };
    Some(line.to_vec())
}
