//! The heads of a run: started, told to end, killed at the earliest time that the operators allow, and started again.

use crate::record::Record;
use crate::scenario::Scenario;
use crate::shim::{Call, Shim, errno};
use crate::standin::Program;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// New connections come for so long after SIGTERM.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// A head, which may be replaced by its next process.
pub struct Head {
    config: Value,
    pub shim: Shim,
    state: Mutex<State>,
}

struct State {
    program: Option<Program>,
    http: SocketAddr,
    terminated_at: Option<Instant>,
}

impl Head {
    pub fn start(config: &Value, seed: u64) -> Head {
        let shim = Shim::new(seed);
        let program = start(config, &shim);
        let state = State { http: program.http, program: Some(program), terminated_at: None };
        Head { config: config.clone(), shim, state: Mutex::new(state) }
    }

    /// Where new connections go; `None` while it ends and clients come no more.
    pub fn address(&self) -> Option<SocketAddr> {
        let state = self.state.lock().expect("a head");
        let is_open = state.terminated_at.is_none_or(|at| at.elapsed() < ARRIVAL_TIME);
        (state.program.is_some() && is_open).then_some(state.http)
    }

    /// SIGTERM, SIGKILL at its earliest, and the next process.
    pub fn restart(&self, scenario: &Scenario, record: &Record) {
        {
            let mut state = self.state.lock().expect("a head");
            state.program.as_ref().expect("a process").terminate();
            state.terminated_at = Some(Instant::now());
        }
        thread::sleep(scenario.kill_after());
        let ended = self.state.lock().expect("a head").program.take();
        if let Some(program) = ended {
            check_memory(&program, scenario, record);
            record.killed();
            drop(program);
        }
        record.count("restarts");
        let program = start(&self.config, &self.shim);
        let mut state = self.state.lock().expect("a head");
        *state = State { http: program.http, program: Some(program), terminated_at: None };
    }

    /// Whether its process is alive, and within its memory.
    pub fn check(&self, scenario: &Scenario, record: &Record) {
        let state = self.state.lock().expect("a head");
        if let Some(program) = state.program.as_ref().filter(|_| state.terminated_at.is_none()) {
            if !program.is_alive() {
                record.violation("a process has ended by itself".to_owned());
            }
            check_memory(program, scenario, record);
        }
    }

    /// System calls of its process fail for a while.
    pub fn fail_calls(&self, time: Duration) {
        self.shim.fail(Call::Accept, errno::ECONNABORTED, 300);
        self.shim.fail(Call::Connect, errno::EADDRNOTAVAIL, 300);
        self.shim.fail(Call::Socket, errno::ENFILE, 100);
        self.shim.fail(Call::Wait, 0, 200);
        self.shim.fail(Call::ShortRead, 100, 200);
        self.shim.fail(Call::ShortWrite, 100, 200);
        thread::sleep(time);
        self.shim.heal();
    }
}

fn start(config: &Value, shim: &Shim) -> Program {
    let environment = shim.environment();
    let environment: Vec<(&str, &str)> =
        environment.iter().map(|(name, value)| (*name, value.as_str())).collect();
    Program::start_with(config, None, &environment)
}

fn check_memory(program: &Program, scenario: &Scenario, record: &Record) {
    let Some(peak) = program.peak_memory_if_alive() else { return };
    if peak > scenario.memory_mb * 1024 {
        record.violation(format!("a process held {peak} KiB of {} MiB", scenario.memory_mb));
    }
}
