//! VRRP: its packets as recorded, its states over virtual time, and two heads that take over from each other.

mod standin;

use sedgerun_protocol_9p::Message;
use sedgerun_vrrp::{Action, Advertisement, CENTISECOND, Event, RouterConfig, State, StateMachine, packet};
use standin::{Client, Discovery, Fault, Program, StandIn, config, operator};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

fn router(priority: u8, port: u16) -> RouterConfig {
    let own_address = SocketAddr::from(([127, 0, 0, 1], port));
    RouterConfig {
        id: 7,
        priority,
        interval: 100,
        preempt: true,
        addresses: vec![Ipv4Addr::new(127, 0, 0, 100)],
        own_address,
    }
}

fn received(priority: u8, port: u16) -> Event {
    let addresses = router(priority, port).addresses;
    let advertisement = Advertisement { id: 7, priority, interval: 100, addresses };
    Event::Received(advertisement, SocketAddr::from(([127, 0, 0, 1], port)))
}

#[test]
fn packets_are_read_and_written_as_recorded() {
    let lines = include_str!("recorded/vrrp.txt").lines().filter(|line| !line.starts_with('#'));
    for line in lines {
        let (bytes, meaning) = line.split_once(" = ").expect("a meaning");
        let bytes: Vec<u8> =
            bytes.split(' ').map(|byte| u8::from_str_radix(byte, 16).expect("hexadecimal")).collect();
        let read = packet::decode(&bytes);
        let meaning_read = read.as_ref().map_or("discard".to_owned(), |read| {
            format!("{} {} {} {}", read.id, read.priority, read.interval, read.addresses[0])
        });
        assert_eq!(meaning_read, meaning, "{line}");
        if let Some(read) = read {
            assert_eq!(packet::encode(&read), bytes, "{line}");
        }
    }
}

#[test]
fn a_backup_takes_over_when_the_active_router_falls_silent() {
    let router = router(100, 1);
    let (machine, actions) = StateMachine::default().step(&router, &Event::Startup, 0);
    assert_eq!((machine.state, actions), (State::Backup, vec![Action::StateChanged(State::Backup)]));
    // Three intervals and the skew: (256 - 100) / 256 of one.
    let down = 300 * CENTISECOND + 156 * 100 * CENTISECOND / 256;
    assert_eq!(machine.timer, Some(down));
    let (machine, _) = machine.step(&router, &received(150, 2), 50);
    assert_eq!(machine.timer, Some(50 + down));
    assert_eq!(machine.step(&router, &Event::Tick, 49 + down).0, machine);
    let (machine, actions) = machine.step(&router, &Event::Tick, 50 + down);
    assert_eq!(actions, [Action::Advertise(100), Action::StateChanged(State::Active)]);
    let (machine, actions) = machine.step(&router, &Event::Tick, 50 + down + 100 * CENTISECOND);
    assert_eq!((machine.state, actions), (State::Active, vec![Action::Advertise(100)]));
}

#[test]
fn priorities_addresses_and_preemption_decide_who_is_active() {
    let start = |router: &RouterConfig| StateMachine::default().step(router, &Event::Startup, 0).0;
    let router_100 = router(100, 5);
    let backup = start(&router_100);
    let (active, _) = backup.step(&router_100, &Event::Tick, backup.timer.expect("a timer"));
    // A higher priority, or the same from a higher address, takes over; others are notified who is active.
    for (event, state) in [
        (received(101, 1), State::Backup),
        (received(100, 9), State::Backup),
        (received(100, 1), State::Active),
        (received(99, 9), State::Active),
        (received(0, 9), State::Active),
    ] {
        let (machine, actions) = active.step(&router_100, &event, 10);
        assert_eq!(machine.state, state, "{event:?}");
        assert_eq!(actions.contains(&Action::Advertise(100)), state == State::Active, "{event:?}");
    }
    // A lower active router is left alone only where preemption is off.
    assert_eq!(backup.step(&router_100, &received(50, 1), 10).0.timer, backup.timer);
    let without_preemption = RouterConfig { preempt: false, ..router_100.clone() };
    assert!(backup.step(&without_preemption, &received(50, 1), 10).0.timer > backup.timer);
    // One that stops is followed after the skew alone.
    assert_eq!(
        backup.step(&router_100, &received(0, 1), 10).0.timer,
        Some(10 + 156 * 100 * CENTISECOND / 256)
    );
    let (stopped, actions) = active.step(&router_100, &Event::Shutdown, 10);
    assert_eq!((stopped, actions[0]), (StateMachine::default(), Action::Advertise(0)));
    let owner = StateMachine::default().step(&router(255, 1), &Event::Startup, 0);
    assert_eq!((owner.0.state, owner.1[0]), (State::Active, Action::Advertise(255)));
}

#[test]
fn a_second_head_serves_the_virtual_address_once_the_first_has_ended() {
    let node = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![node.entry("ready")]);
    let free = |_| UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port");
    let routers: [SocketAddr; 2] = [0, 1].map(free);
    let shared = SocketAddr::from(([127, 0, 0, 100], {
        let listener = TcpListener::bind("127.0.0.100:0").expect("a port");
        listener.local_addr().expect("an address").port()
    }));
    let start = |own: usize, priority: u8| {
        let vrrp = format!(
            "vrrp.id=7\nvrrp.priority={priority}\nvrrp.interval=100000\nvrrp.addresses={}\nvrrp.port={}\n\
             vrrp.listen={}\nvrrp.peers={}",
            shared.ip(),
            shared.port(),
            routers[own],
            routers[1 - own]
        );
        let conf = format!("{}\n{vrrp}", operator(&[&node]));
        Program::start(&config(discovery.address), Some(&conf))
    };
    let reachable = |within: u64| {
        let until = Instant::now() + Duration::from_secs(within);
        while TcpStream::connect(shared).is_err() {
            assert!(Instant::now() < until, "nobody serves the virtual address");
            thread::sleep(Duration::from_millis(20));
        }
    };
    let first = start(0, 200);
    reachable(10);
    let second = start(1, 100);
    let mut client = Client::attach(shared, "press");
    assert!(matches!(client.walk(1, &["proof"]), Message::Rwalk { .. }));
    first.terminate();
    let (success, said) = first.end();
    assert!(success && said.contains("Active -> Initialize"), "{said}");
    reachable(10);
    let mut client = Client::attach(shared, "press");
    assert!(matches!(client.walk(1, &["proof"]), Message::Rwalk { .. }));
    second.terminate();
    let (success, said) = second.end();
    assert!(success && said.contains("Backup -> Active"), "{said}");
}
