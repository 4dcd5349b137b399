//! Stand-ins for heads of the version before subscriptions and relays: they know the calls up to `Propose` alone, and
//! end the connection over any other.

use sedgerun_cluster::types::{LegacyPollRequest, PeerResponse};
use sedgerun_replication::follow::{Downstream, LegacyUpdateResponse, Peer, Voters};
use sedgerun_replication::greeting::{Greeting, HandshakeError};
use sedgerun_replication::record::{self, RecordType};
use sedgerun_replication::view::{ExportFields, Object, ObjectKey, VersionedObject, View};
use sedgerun_replication::watermark::{Incarnation, Watermark};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Number of the call `Follow` on the wire.
const FOLLOW: u8 = 8;
/// Bytes of a record before its body.
const RECORD_HEADER: usize = 6;
const ORIGIN: u64 = 77;

fn send<T: Serialize>(stream: &mut TcpStream, record_type: RecordType, value: &T) -> Option<()> {
    let record = record::encode(record_type, value).expect("a record");
    let mut frame = (record.len() as u32).to_le_bytes().to_vec();
    frame.extend(record);
    stream.write_all(&frame).ok()
}

fn receive_record(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut record = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut record).ok()?;
    Some(record)
}

fn receive<T: DeserializeOwned>(stream: &mut TcpStream, record_type: RecordType) -> Option<T> {
    record::decode(record_type, &receive_record(stream)?).ok()
}

fn greeting(fleet: &str, secret: &str, head: &str, store: u64, address: String) -> Greeting {
    Greeting {
        cluster: fleet.into(),
        secret: secret.into(),
        head: head.into(),
        store: Some(store),
        zone: None,
        address,
        incarnation: Incarnation { count: 1, nonce: 1 },
        initial_watermark: Watermark::default(),
        origin: None,
    }
}

/// A follower that polls with the old call.
pub struct OldFollower {
    stream: TcpStream,
}

impl OldFollower {
    pub fn connect(to: SocketAddr, fleet: &str, secret: &str) -> OldFollower {
        let mut stream = TcpStream::connect(to).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
        let own = greeting(fleet, secret, "old", 4242, "127.0.0.1:1".into());
        send(&mut stream, RecordType::Greeting, &own).expect("a greeting");
        let theirs: Result<Greeting, HandshakeError> =
            receive(&mut stream, RecordType::Greeting).expect("a greeting");
        theirs.expect("admitted");
        OldFollower { stream }
    }

    /// Asks for what comes after a version.
    pub fn poll(&mut self, since: u64) -> LegacyUpdateResponse {
        let follower = Downstream {
            peer: Peer { head: "old".into(), address: "127.0.0.1:1".into() },
            store: 4242,
            zone: None,
            version: since,
            incarnation: 1,
        };
        let request =
            LegacyPollRequest { follower, subtree: Some(vec![]), since, first_version: 0, wait_ms: 1000 };
        send(&mut self.stream, RecordType::Call, &(FOLLOW, request)).expect("a call");
        match receive(&mut self.stream, RecordType::Response) {
            Some(PeerResponse::LegacyUpdate(_, reply)) => reply,
            other => panic!("{other:?}"),
        }
    }
}

#[derive(Default)]
struct Held {
    view: View,
    /// Calls that it does not know.
    unknown: u64,
    polls: u64,
}

/// A voter that serves followers with the old call: a fleet of one.
pub struct OldVoter {
    pub address: SocketAddr,
    held: Arc<Mutex<Held>>,
}

impl OldVoter {
    pub fn start(fleet: &str, secret: &str) -> OldVoter {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let voter = OldVoter { address, held: Arc::default() };
        voter.change();
        let own = Greeting { origin: Some(ORIGIN), ..greeting(fleet, secret, "n0", 7, address.to_string()) };
        let held = Arc::clone(&voter.held);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, held) = (own.clone(), Arc::clone(&held));
                thread::spawn(move || serve(stream, &own, &held));
            }
        });
        voter
    }

    /// Settles a further export, `e1`, `e2`, ..., of the tenant `horvat`.
    pub fn change(&self) {
        let mut held = self.held.lock().expect("what it holds");
        let version = held.view.version + 1;
        let fields = [
            ("volume", "b1"),
            ("plan", "even"),
            ("shard", "3"),
            ("readClass", "read"),
            ("writeClass", "write"),
            ("largeClass", "bulk"),
        ];
        let fields: ExportFields =
            fields.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect();
        let exports: BTreeMap<String, ExportFields> =
            (1..=version).map(|i| (format!("e{i}"), fields.clone())).collect();
        let object = Some(Object::Tenant(exports));
        held.view.put(VersionedObject { version, key: ObjectKey::Tenant("horvat".into()), object });
    }

    /// Calls that it did not know, and polls.
    pub fn counts(&self) -> (u64, u64) {
        let held = self.held.lock().expect("what it holds");
        (held.unknown, held.polls)
    }
}

fn serve(mut stream: TcpStream, own: &Greeting, held: &Mutex<Held>) -> Option<()> {
    let _theirs: Greeting = receive(&mut stream, RecordType::Greeting)?;
    let words: Result<Greeting, HandshakeError> = Ok(own.clone());
    send(&mut stream, RecordType::Greeting, &words)?;
    loop {
        let call = receive_record(&mut stream)?;
        let number = *call.get(RECORD_HEADER)?;
        if number != FOLLOW {
            // The command line's `Status` is known, too; all that is counted is a follower's.
            held.lock().expect("what it holds").unknown += u64::from(number > 10);
            return None;
        }
        let (_, request): (u8, LegacyPollRequest) = record::decode(RecordType::Call, &call).ok()?;
        let chunk = {
            let mut held = held.lock().expect("what it holds");
            held.polls += 1;
            held.view.chunk(request.since, request.first_version, 1 << 18)
        };
        if chunk.objects.is_empty() {
            thread::sleep(Duration::from_millis(100));
        }
        let leader = Some(Peer { head: own.head.clone(), address: own.address.clone() });
        let by_store = BTreeMap::from([(7, Peer { head: own.head.clone(), address: own.address.clone() })]);
        let voters = Voters { log_index: 1, by_store };
        let reply =
            LegacyUpdateResponse::Chunk { chunk, path: vec![own.head.clone()], age: 0, leader, voters };
        send(&mut stream, RecordType::Response, &PeerResponse::LegacyUpdate(Some(ORIGIN), reply))?;
    }
}
