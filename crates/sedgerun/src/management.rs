//! The operators' address (`mgmt`): one line a connection, one answer that starts with `YES` or `NO`.
//!
//! What a call means is read by [`OperatorCommand`]; this is the socket round it, the figures that
//! `show-stat` gives, and the hand-over of bans to the next process of this head through `$TMPDIR`.

use crate::config::Config;
use crate::dispatch_service::DispatchService;
use crate::frontend::http::HttpFrontend;
use sedgerun_cluster::ClusterHandle;
use sedgerun_dispatch::{MAX_COMMAND_BYTES, OperatorCommand};
use sedgerun_policy::BackendId;
use sedgerun_replication::state::ChangeOutcome;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Time in which a caller must say its line; one that says nothing holds only its own place.
const LINE_TIME: Duration = Duration::from_millis(800);
/// Time in which an answer must have left.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// How often the bans that another process of this head wrote are looked at.
const LOOK: Duration = Duration::from_millis(100);
/// The first line of the hand-over file.
const HEADER: &str = "sedgerun bans 1";

/// What is said to discovery and heard from it, as `show-stat` names it.
const DISCOVERY_TRAFFIC: [&str; 4] = [
    "discovery_bytes_received",
    "discovery_bytes_sent",
    "discovery_messages_received",
    "discovery_messages_sent",
];

/// The operators' address of one process.
pub struct ManagementServer {
    dispatch: Rc<DispatchService>,
    front: Rc<HttpFrontend>,
    config: Rc<Config>,
    /// The fleet that it is of, where there is one.
    fleet: Option<Rc<ClusterHandle>>,
    /// This process can serve.
    pub ready: Cell<bool>,
    callers: Cell<usize>,
    handover: Option<PathBuf>,
    /// What the hand-over file held when it was last read or written.
    seen: RefCell<String>,
}

impl ManagementServer {
    /// The address's state; bans are handed over in `$TMPDIR` where there is one.
    pub fn new(
        dispatch: Rc<DispatchService>,
        front: Rc<HttpFrontend>,
        config: Rc<Config>,
        fleet: Option<Rc<ClusterHandle>>,
    ) -> Rc<ManagementServer> {
        let handover = std::env::var_os("TMPDIR").map(|dir| PathBuf::from(dir).join("sedgerun-bans"));
        let (ready, callers, seen) = Default::default();
        Rc::new(ManagementServer { dispatch, front, config, fleet, ready, callers, handover, seen })
    }

    /// The most callers at once: a few of the descriptors.
    fn most_callers(&self) -> usize {
        (self.config.sockets / 32).clamp(4, 32)
    }

    /// Accepts callers for as long as the future is polled.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            };
            if self.callers.get() >= self.most_callers() {
                // Guards against callers that connect and say nothing: those past the bound are closed at once.
                drop(stream);
                continue;
            }
            self.callers.set(self.callers.get() + 1);
            let mgmt = Rc::clone(&self);
            actix_rt::spawn(async move {
                mgmt.call(stream).await;
                mgmt.callers.set(mgmt.callers.get() - 1);
            });
        }
    }

    async fn call(&self, stream: TcpStream) {
        let (read, mut write) = stream.into_split();
        let mut reader = BufReader::new(read).take(MAX_COMMAND_BYTES as u64 + 2);
        let mut line = Vec::new();
        let answer = match tokio::time::timeout(LINE_TIME, reader.read_until(b'\n', &mut line)).await {
            Err(_) => "NO no whole line in time\n".to_owned(),
            Ok(Err(_)) => return,
            Ok(Ok(_)) if line.is_empty() => return,
            Ok(Ok(_)) => {
                if line.last() == Some(&b'\n') {
                    line.pop();
                    if line.last() == Some(&b'\r') {
                        line.pop();
                    }
                }
                match OperatorCommand::parse(&line) {
                    Ok(call) => self.answer(call).await,
                    Err(why) => format!("NO {why}\n"),
                }
            }
        };
        let _ = tokio::time::timeout(ANSWER_TIME, write.write_all(answer.as_bytes())).await;
        let _ = write.shutdown().await;
    }

    /// Carries out one call.
    pub async fn answer(&self, call: OperatorCommand) -> String {
        match call {
            OperatorCommand::Ready if self.ready.get() => "YES ready\n".to_owned(),
            OperatorCommand::Ready => "NO starting\n".to_owned(),
            OperatorCommand::ShowStat => format!("YES\n{}END\n", self.metrics()),
            OperatorCommand::Drain => {
                self.front.drained.set(true);
                self.front.connections.close_idle(usize::MAX, Duration::ZERO);
                tracing::info!("mgmt: drained");
                "YES drained\n".to_owned()
            }
            OperatorCommand::Resume => {
                self.front.drained.set(false);
                tracing::info!("mgmt: resumed");
                "YES resumed\n".to_owned()
            }
            OperatorCommand::Disable(id) => self.ban(&id, true),
            OperatorCommand::Enable(id) => self.ban(&id, false),
            OperatorCommand::FleetDisable(id) => self.ban_for_all(id, true).await,
            OperatorCommand::FleetEnable(id) => self.ban_for_all(id, false).await,
        }
    }

    /// A ban at all heads: yes means that a majority of the voters has it on disk.
    async fn ban_for_all(&self, brick: String, banned: bool) -> String {
        let Some(fleet) = &self.fleet else { return "NO this head is in no fleet\n".to_owned() };
        let what = if banned { "disabled" } else { "enabled" };
        match fleet.ban(&brick, banned).await {
            Ok(ChangeOutcome::Done { version, .. }) => {
                tracing::info!("mgmt: {brick} {what} at all heads");
                format!("YES {brick} {what} at all heads, version {version}\n")
            }
            Ok(ChangeOutcome::Missing(why) | ChangeOutcome::Conflict(why)) => format!("NO {why}\n"),
            Ok(other) => format!("NO {other:?}\n"),
            Err(why) => format!("NO {}; it may still happen: ask again\n", why.0),
        }
    }

    fn ban(&self, id: &str, disable: bool) -> String {
        let Some(node) = self.dispatch.backends().names.find(id) else {
            return format!("NO no brick {id:?} is known\n");
        };
        let changed = if disable { self.dispatch.disable(node) } else { self.dispatch.enable(node) };
        match changed {
            Ok(()) => {
                tracing::info!("mgmt: {id} {}", if disable { "disabled" } else { "enabled" });
                self.hand_over();
                let still = !disable && self.dispatch.is_banned(node);
                let still = if still { " here; the fleet's ban holds" } else { "" };
                format!("YES {id} {}{still}\n", if disable { "disabled" } else { "enabled" })
            }
            Err(why) => format!("NO {id}: {why}\n"),
        }
    }

    /// The figures as lines.
    pub fn metrics(&self) -> String {
        let (listed, out) = self.dispatch.rotation();
        let mut gauges = vec![
            ("open_requests", self.dispatch.open_requests() as u64),
            ("registry_entries", listed as u64),
            ("out_of_rotation", out as u64),
        ];
        gauges.extend(self.dispatch.metrics.discovery.totals().named(DISCOVERY_TRAFFIC));
        gauges.extend(self.fleet.iter().flat_map(|fleet| fleet.metrics()));
        self.dispatch.metrics.render(&self.config.classes, &gauges)
    }

    /// Writes the bans for the next process: to a file of its own first, then renamed into place.
    fn hand_over(&self) {
        let Some(path) = &self.handover else { return };
        let names = self
            .dispatch
            .disabled_by_head()
            .into_iter()
            .filter_map(|node| self.dispatch.backends().names.name(node));
        let names: Vec<String> = names.collect();
        let text = format!(
            "{HEADER}\n{}end {}\n",
            names.iter().map(|name| format!("{name}\n")).collect::<String>(),
            names.len()
        );
        let own = path.with_extension(format!("{}", std::process::id()));
        let written = std::fs::write(&own, &text).and_then(|()| std::fs::rename(&own, path));
        match written {
            Ok(()) => *self.seen.borrow_mut() = text,
            Err(error) => tracing::warn!("mgmt: cannot hand over bans in {}: {error}", path.display()),
        }
    }

    /// Takes over the bans that an earlier or later process of this head wrote, at the start and then as they
    /// change.
    pub async fn follow(self: Rc<Self>) {
        let Some(path) = self.handover.clone() else { return };
        loop {
            let text = std::fs::read_to_string(&path).ok();
            if let Some(text) = text.filter(|text| *self.seen.borrow() != *text) {
                match read_bans(&text) {
                    Ok(names) => {
                        let banned: BTreeSet<BackendId> =
                            names.iter().map(|name| self.dispatch.backends().names.node(name)).collect();
                        self.dispatch.set_disabled_by_head(banned);
                    }
                    Err(what) => tracing::error!("mgmt: {}: {what}; the bans held stand", path.display()),
                }
                *self.seen.borrow_mut() = text;
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}

/// Reads a hand-over file: the names of banned bricks, or what is wrong and on which line.
pub fn read_bans(text: &str) -> Result<Vec<String>, String> {
    let mut lines = text.lines().enumerate();
    match lines.next() {
        Some((_, line)) if line == HEADER => {}
        _ => return Err(format!("line 1: not {HEADER:?}")),
    }
    let mut names = Vec::new();
    for (number, line) in lines {
        if let Some(count) = line.strip_prefix("end ") {
            if count.parse() != Ok(names.len()) {
                return Err(format!(
                    "line {}: {} names, and the end says {count:?}",
                    number + 1,
                    names.len()
                ));
            }
            return Ok(names);
        }
        if line.is_empty() || line.chars().any(|c| c.is_whitespace() || c.is_control()) {
            return Err(format!("line {}: malformed name {line:?}", number + 1));
        }
        names.push(line.to_owned());
    }
    Err("the end line is missing: the file is cut short".to_owned())
}

#[cfg(test)]
mod tests {
    use super::read_bans;

    #[test]
    fn a_spoilt_hand_over_file_is_refused_with_its_line() {
        assert_eq!(read_bans("sedgerun bans 1\ns-1\ns-2\nend 2\n"), Ok(vec!["s-1".into(), "s-2".into()]));
        assert_eq!(read_bans("sedgerun bans 1\nend 0\n"), Ok(vec![]));
        assert!(read_bans("sedgerun bans 1\ns-1\n").unwrap_err().contains("cut short"));
        assert!(read_bans("sedgerun bans 1\ns-1\nend 2\n").unwrap_err().starts_with("line 3"));
        assert!(read_bans("bans\n").unwrap_err().starts_with("line 1"));
        assert!(read_bans("sedgerun bans 1\ns 1\nend 1\n").unwrap_err().starts_with("line 2"));
    }
}
