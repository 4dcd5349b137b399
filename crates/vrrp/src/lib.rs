//! VRRP version 3 (RFC 9568): the state machine, as a function of events and time. It does no I/O and has no clock;
//! [`packet`] is its codec. The caller owns the [`StateMachine`], feeds it events and carries its actions out.

pub mod packet;

use sedgerun_policy::Micros;
use std::net::{Ipv4Addr, SocketAddr};

/// A hundredth of a second in microseconds, the protocol's unit of time.
pub const CENTISECOND: Micros = 10_000;
/// The priority of the virtual addresses' owner.
pub const OWNER_PRIORITY: u8 = 255;

/// The configuration of a virtual router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// The virtual router's number.
    pub id: u8,
    /// 1 to 255; the highest becomes active.
    pub priority: u8,
    /// Time between advertisements, in hundredths of a second.
    pub interval: u16,
    /// Whether a higher priority takes over from a lower one that is active.
    pub preempt: bool,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
    /// This router's own address; of two equal priorities the higher address stays active.
    pub own_address: SocketAddr,
}

/// An advertisement as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// The virtual router's number.
    pub id: u8,
    /// The sender's priority; 0: it stops.
    pub priority: u8,
    /// The sender's interval, in hundredths of a second.
    pub interval: u16,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
}

/// The states of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not taking part.
    Initialize,
    /// Watching the active router.
    Backup,
    /// Serving the virtual addresses.
    Active,
}

/// An event of a virtual router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// It begins to take part.
    Startup,
    /// It stops.
    Shutdown,
    /// Time has passed.
    Tick,
    /// An advertisement came from another router.
    Received(Advertisement, SocketAddr),
}

/// What is to be done for a virtual router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an advertisement of this priority to all others.
    Advertise(u8),
    /// The state is a new one.
    StateChanged(State),
}

/// A virtual router's state: what it is, and when its one timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateMachine {
    /// The state.
    pub state: State,
    /// When the Adver_Timer of an active router or the Active_Down_Timer of a backup fires.
    pub timer: Option<Micros>,
    /// The active router's interval, in hundredths of a second.
    active_interval: u16,
}

impl Default for StateMachine {
    fn default() -> Self {
        StateMachine { state: State::Initialize, timer: None, active_interval: 0 }
    }
}

impl StateMachine {
    /// The state after an event, and what is to be done.
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
            Event::Tick if self.has_fired(now) => self.take_over(router, now),
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
            Event::Tick if self.has_fired(now) => (self.into_active(router, now), vec![advertise]),
            Event::Received(received, from) => {
                let own_rank = (router.priority, router.own_address);
                if received.priority > 0 && (received.priority, *from) > own_rank {
                    let backup = self.into_backup(router, received.interval, now);
                    (backup, vec![Action::StateChanged(State::Backup)])
                } else {
                    // The sender stops, or has to learn at once that this router is active.
                    (self.into_active(router, now), vec![advertise])
                }
            }
            _ => (self, Vec::new()),
        }
    }

    fn take_over(self, router: &RouterConfig, now: Micros) -> (StateMachine, Vec<Action>) {
        let actions = vec![Action::Advertise(router.priority), Action::StateChanged(State::Active)];
        (self.into_active(router, now), actions)
    }

    /// A backup of an active router that advertises at this interval.
    fn into_backup(mut self, router: &RouterConfig, active_interval: u16, now: Micros) -> StateMachine {
        self.state = State::Backup;
        self.active_interval = active_interval;
        self.timer = Some(now + self.active_down_interval(router));
        self
    }

    fn into_active(self, router: &RouterConfig, now: Micros) -> StateMachine {
        let timer = Some(now + Micros::from(router.interval) * CENTISECOND);
        StateMachine { state: State::Active, timer, ..self }
    }

    fn has_fired(&self, now: Micros) -> bool {
        self.timer.is_some_and(|at| at <= now)
    }

    /// The Skew_Time of RFC 9568, section 6.1: the higher the priority, the earlier a backup takes over.
    fn skew_time(&self, router: &RouterConfig) -> Micros {
        (256 - Micros::from(router.priority)) * Micros::from(self.active_interval) * CENTISECOND / 256
    }

    /// The Active_Down_Interval of RFC 9568, section 6.1.
    fn active_down_interval(&self, router: &RouterConfig) -> Micros {
        3 * Micros::from(self.active_interval) * CENTISECOND + self.skew_time(router)
    }
}
