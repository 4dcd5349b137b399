//! The state machine of VRRP version 3 (RFC 9568), as a function of events and time. It performs no I/O and
//! reads no clock. [`packet`] is the packet codec. The caller owns the [`StateMachine`], passes events to it
//! and carries out the actions that it returns.

pub mod packet;

use sedgerun_policy::Micros;
use std::net::{Ipv4Addr, SocketAddr};

/// A hundredth of a second in microseconds. It is the protocol's unit of time.
pub const CENTISECOND: Micros = 10_000;
/// The priority of the router that owns the virtual addresses. It becomes active at once on startup.
pub const OWNER_PRIORITY: u8 = 255;

/// The configuration of a virtual router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// The virtual router identifier (VRID).
    pub id: u8,
    /// From 1 to 255; the router with the highest priority becomes active.
    pub priority: u8,
    /// The time between advertisements, in hundredths of a second.
    pub interval: u16,
    /// Whether this router takes over from an active router with a lower priority.
    pub preempt: bool,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
    /// This router's own address. Of two active routers with equal priority, the one with the higher address
    /// stays active.
    pub own_address: SocketAddr,
}

/// The content of an advertisement packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// The virtual router identifier (VRID).
    pub id: u8,
    /// The sender's priority; 0: the sender stops taking part.
    pub priority: u8,
    /// The time between the sender's advertisements, in hundredths of a second.
    pub interval: u16,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
}

/// The state of a virtual router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Does not take part in the protocol.
    Initialize,
    /// Monitors the active router and takes over when its advertisements stop.
    Backup,
    /// Serves the virtual addresses.
    Active,
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The router starts to take part.
    Startup,
    /// The router stops taking part.
    Shutdown,
    /// Time has passed; the timer may have expired.
    Tick,
    /// An advertisement was received from another router at this address.
    Received(Advertisement, SocketAddr),
}

/// An operation that the caller must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an advertisement with this priority to all other routers.
    Advertise(u8),
    /// The router has entered this state.
    StateChanged(State),
}

/// The protocol state of a virtual router, with its single timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateMachine {
    /// The current state.
    pub state: State,
    /// When the Adver_Timer of an active router or the Active_Down_Timer of a backup expires; `None` in the
    /// initial state.
    pub timer: Option<Micros>,
    /// The time between the active router's advertisements, in hundredths of a second.
    active_interval: u16,
}

impl Default for StateMachine {
    fn default() -> Self {
        StateMachine { state: State::Initialize, timer: None, active_interval: 0 }
    }
}

impl StateMachine {
    /// Processes an event; returns the next state and the actions to carry out.
    pub fn step(self, router: &RouterConfig, event: &Event, now: Micros) -> (StateMachine, Vec<Action>) {
        match self.state {
            State::Initialize => self.step_initialize(router, event, now),
            State::Backup => self.step_backup(router, event, now),
            State::Active => self.step_active(router, event, now),
        }
    }

    fn step_initialize(
        self,
        router: &RouterConfig,
        event: &Event,
        now: Micros,
    ) -> (StateMachine, Vec<Action>) {
        match event {
            Event::Startup if router.priority == OWNER_PRIORITY => self.take_over(router, now),
            Event::Startup => {
                (self.into_backup(router, router.interval, now), vec![Action::StateChanged(State::Backup)])
            }
            _ => (self, Vec::new()),
        }
    }

    fn step_backup(self, router: &RouterConfig, event: &Event, now: Micros) -> (StateMachine, Vec<Action>) {
        match event {
            Event::Shutdown => (StateMachine::default(), vec![Action::StateChanged(State::Initialize)]),
            Event::Tick if self.timer_expired(now) => self.take_over(router, now),
            Event::Received(received, _) if received.priority == 0 => {
                (StateMachine { timer: Some(now + self.skew_time(router)), ..self }, Vec::new())
            }
            Event::Received(received, _) if !router.preempt || received.priority >= router.priority => {
                (self.into_backup(router, received.interval, now), Vec::new())
            }
            _ => (self, Vec::new()),
        }
    }

    fn step_active(self, router: &RouterConfig, event: &Event, now: Micros) -> (StateMachine, Vec<Action>) {
        let advertise = Action::Advertise(router.priority);
        match event {
            Event::Shutdown => {
                (StateMachine::default(), vec![Action::Advertise(0), Action::StateChanged(State::Initialize)])
            }
            Event::Tick if self.timer_expired(now) => (self.into_active(router, now), vec![advertise]),
            Event::Received(received, from) => {
                let own_rank = (router.priority, router.own_address);
                if received.priority > 0 && (received.priority, *from) > own_rank {
                    let backup = self.into_backup(router, received.interval, now);
                    (backup, vec![Action::StateChanged(State::Backup)])
                } else {
                    // The sender stops, or must learn at once that this router is active.
                    (self.into_active(router, now), vec![advertise])
                }
            }
            _ => (self, Vec::new()),
        }
    }

    /// Becomes active and announces it to the other routers.
    fn take_over(self, router: &RouterConfig, now: Micros) -> (StateMachine, Vec<Action>) {
        let actions = vec![Action::Advertise(router.priority), Action::StateChanged(State::Active)];
        (self.into_active(router, now), actions)
    }

    /// Becomes or stays a backup of an active router that advertises at this interval, and restarts the
    /// timer.
    fn into_backup(mut self, router: &RouterConfig, active_interval: u16, now: Micros) -> StateMachine {
        self.state = State::Backup;
        self.active_interval = active_interval;
        self.timer = Some(now + self.active_down_interval(router));
        self
    }

    /// Becomes or stays active, and restarts the timer.
    fn into_active(self, router: &RouterConfig, now: Micros) -> StateMachine {
        let timer = Some(now + Micros::from(router.interval) * CENTISECOND);
        StateMachine { state: State::Active, timer, ..self }
    }

    fn timer_expired(&self, now: Micros) -> bool {
        self.timer.is_some_and(|at| at <= now)
    }

    /// The Skew_Time of RFC 9568, section 6.1: the higher a backup's priority, the earlier it takes over.
    fn skew_time(&self, router: &RouterConfig) -> Micros {
        (256 - Micros::from(router.priority)) * Micros::from(self.active_interval) * CENTISECOND / 256
    }

    /// The Active_Down_Interval of RFC 9568, section 6.1.
    fn active_down_interval(&self, router: &RouterConfig) -> Micros {
        3 * Micros::from(self.active_interval) * CENTISECOND + self.skew_time(router)
    }
}
