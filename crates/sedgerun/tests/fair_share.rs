//! Volumes share a backend by their plans, whatever wire their requests come over.

mod standin;

use sedgerun_protocol_9p::Message;
use standin::{Client, Discovery, Fault, Program, StandIn, config, get, operator};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn volumes_share_a_backend_evenly_across_9p_and_http() {
    let backend = StandIn::start("s-1", 3, Duration::from_millis(8), Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let program = Program::start(&config(discovery.address), Some(&operator(&[&backend])));
    thread::sleep(Duration::from_millis(100));
    let (http, ninep) = (program.http, program.ninep.expect("9P"));
    // Counted once the loops have settled, over many requests of each volume.
    let begin = Instant::now() + Duration::from_secs(4);
    let end = begin + Duration::from_secs(12);
    let served = [AtomicU64::new(0), AtomicU64::new(0)];
    let count = |volume: usize, ok: bool| match ok {
        true if Instant::now() > begin => drop(served[volume].fetch_add(1, Ordering::SeqCst)),
        true => {}
        false => thread::sleep(Duration::from_millis(10)),
    };
    let count = &count;
    // Each volume comes over both wires, the first mostly over 9P and the other mostly over HTTP.
    let exports = [(0, "press", 12, 4), (1, "proofs", 4, 12)];
    let mut clients = Vec::new();
    for (volume, export, ninep_clients, _) in exports {
        for _ in 0..ninep_clients {
            let mut client = Client::attach(ninep, export);
            client.walk(1, &["proof"]);
            assert!(matches!(client.open(1, 0), Message::Ropen { .. }));
            clients.push((volume, client));
        }
    }
    thread::scope(|scope| {
        for (volume, mut client) in clients {
            scope.spawn(move || {
                while Instant::now() < end {
                    count(volume, matches!(client.read(1), Message::Rread { .. }));
                }
            });
        }
        for (volume, _, _, http_clients) in exports {
            for _ in 0..http_clients {
                scope.spawn(move || {
                    let mut writer = TcpStream::connect(http).expect("a connection");
                    let mut reader = std::io::BufReader::new(writer.try_clone().expect("a clone"));
                    while Instant::now() < end {
                        let request = get(&format!("a{volume}"), 1000);
                        writer.write_all(request.as_bytes()).expect("sent");
                        let (lines, _) = standin::read_http(&mut reader).expect("an answer");
                        count(volume, lines[0].contains("200"));
                    }
                });
            }
        }
    });
    let [first, second] = served.map(|served| served.load(Ordering::SeqCst) as f64);
    let share = first / (first + second);
    eprintln!("served {first} and {second}");
    assert!(first + second > 500.0, "served {first} and {second}");
    assert!((share - 0.5).abs() < 0.025, "served {first} and {second}");
}
