//! Runs a virtual router of VRRP version 3 over UDP, between known peers: one datagram an advertisement.
//!
//! The protocol is `sedgerun-vrrp`, without I/O and without a clock; [`VrrpRunner`] owns the socket, feeds it events
//! and carries its actions out. Who serves the virtual addresses is not decided here.

use crate::clock::Clock;
use sedgerun_net::DatagramSocket;
use sedgerun_vrrp::{Action, Advertisement, Event, RouterConfig, State, StateMachine, packet};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The longest advertisement: its header and 255 addresses.
const MAX_ADVERTISEMENT_BYTES: usize = 8 + 4 * 255;
/// Time between ticks of a router that waits for none.
const DEFAULT_TICK: Duration = Duration::from_secs(1);

/// A virtual router on a socket.
pub struct VrrpRunner {
    router: RouterConfig,
    peers: Vec<SocketAddr>,
    socket: DatagramSocket,
    clock: Clock,
    state: Cell<State>,
    /// Notified when the state has changed.
    pub changed: Notify,
    stop_requested: Notify,
    has_stopped: Cell<bool>,
}

impl VrrpRunner {
    /// A virtual router that has not begun.
    pub fn new(
        mut router: RouterConfig,
        peers: Vec<SocketAddr>,
        socket: DatagramSocket,
        clock: Clock,
    ) -> Rc<VrrpRunner> {
        router.own_address = socket.local_addr().unwrap_or(router.own_address);
        Rc::new(VrrpRunner {
            router,
            peers,
            socket,
            clock,
            state: Cell::new(State::Initialize),
            changed: Notify::new(),
            stop_requested: Notify::new(),
            has_stopped: Cell::new(false),
        })
    }

    /// The state of the router.
    pub fn state(&self) -> State {
        self.state.get()
    }

    /// Stops taking part: an active router notifies its peers.
    pub fn stop(&self) {
        self.stop_requested.notify_one();
    }

    /// Whether it has stopped.
    pub fn stopped(&self) -> bool {
        self.has_stopped.get()
    }

    /// Takes part until it is stopped.
    pub async fn run(self: Rc<Self>) {
        let mut machine = self.step(StateMachine::default(), &Event::Startup).await;
        let mut buffer = [0; MAX_ADVERTISEMENT_BYTES + 1];
        while machine.state != State::Initialize {
            if let Some(event) = self.next_event(&machine, &mut buffer).await {
                machine = self.step(machine, &event).await;
            }
        }
        self.has_stopped.set(true);
    }

    /// Waits for the next event; `None` for a datagram that is to be ignored.
    async fn next_event(&self, machine: &StateMachine, buffer: &mut [u8]) -> Option<Event> {
        let until_timer = machine
            .timer
            .map_or(DEFAULT_TICK, |at| Duration::from_micros(at.saturating_sub(self.clock.now())));
        tokio::select! {
            () = self.stop_requested.notified() => Some(Event::Shutdown),
            () = tokio::time::sleep(until_timer) => Some(Event::Tick),
            received = self.socket.receive_from(buffer) => match received {
                Ok((length, from)) => {
                    let advertisement = self.accept(&buffer[..length], from)?;
                    Some(Event::Received(advertisement, from))
                }
                // A peer whose port is closed; its silence is what counts.
                Err(_) => Some(Event::Tick),
            },
        }
    }

    /// An advertisement of this virtual router from one of its peers.
    fn accept(&self, datagram: &[u8], from: SocketAddr) -> Option<Advertisement> {
        let advertisement = packet::decode(datagram)?;
        let is_ours = self.peers.contains(&from) && advertisement.id == self.router.id;
        is_ours.then_some(advertisement)
    }

    async fn step(&self, machine: StateMachine, event: &Event) -> StateMachine {
        let (machine, actions) = machine.step(&self.router, event, self.clock.now());
        for action in actions {
            match action {
                Action::Advertise(priority) => self.advertise(priority).await,
                Action::StateChanged(state) => {
                    tracing::info!("vrrp {}: {:?} -> {state:?}", self.router.id, self.state.get());
                    self.state.set(state);
                    self.changed.notify_one();
                }
            }
        }
        machine
    }

    async fn advertise(&self, priority: u8) {
        let RouterConfig { id, interval, ref addresses, .. } = self.router;
        let advertisement = Advertisement { id, priority, interval, addresses: addresses.clone() };
        let datagram = packet::encode(&advertisement);
        for peer in &self.peers {
            // A lost advertisement is the protocol's own business.
            let _ = self.socket.send_to(&datagram, *peer).await;
        }
    }
}
