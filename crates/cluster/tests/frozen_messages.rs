//! Checks that the messages between heads and the records on a voter's disk keep their encoding, byte for
//! byte.
//!
//! Heads of neighbouring versions run in one cluster, so each request and each response must keep its variant
//! number and its encoding, whatever its name in the code. Each value is encoded and compared with its line
//! in `recorded/messages.txt`, and the recorded line is decoded. Frames and backups are written and read by
//! the crate's own client, which is connected to a stub voter. No test writes the file: after an intended
//! change of a format, the failure message shows the new line.

#[path = "../../replication/tests/recorded/mod.rs"]
mod recorded;

use openraft::error::SnapshotMismatch;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{CommittedLeaderId, EntryPayload, SnapshotSegmentId};
use recorded::{Section, assert_sections, unhex};
use sedgerun_cluster::client;
use sedgerun_cluster::disk::Identity;
use sedgerun_cluster::settings::{DEFAULT_MEMORY, Settings};
use sedgerun_cluster::types::{
    DistributionStatus, Entry, HeadStatus, LegacyPollRequest, LogId, Membership, PeerRequest, PeerResponse,
    RelayRegistration, SnapshotMeta, Vote, VoterAddress, VoterStatus,
};
use sedgerun_replication::change_batch::ChangeBatch;
use sedgerun_replication::follow::{Downstream, LegacyUpdateResponse, Peer, Voters};
use sedgerun_replication::greeting::{Greeting, HandshakeError};
use sedgerun_replication::record::{self, RecordType};
use sedgerun_replication::relay::{FollowerRole, Relay, RelayDirectory, RelayStatus};
use sedgerun_replication::state::{Change, ChangeOutcome, Command};
use sedgerun_replication::subscribe::{
    CachedDigests, Redirect, Route, SubscribeResponse, Subscription, SubtreeSummary, Update,
};
use sedgerun_replication::view::{Chunk, ExportFields, Object, ObjectKey, VersionedObject};
use sedgerun_replication::watermark::{Incarnation, Watermark};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const RECORDED: &str = include_str!("recorded/messages.txt");
/// Sections of the file. The name of a line's section ends at the line's first dot.
const SECTIONS: [&str; 5] = ["call", "reply", "stored", "frame", "backup"];
const STORE: u64 = 0x0123_4567_89ab_cdef;
const OTHER_STORE: u64 = 0xfedc_ba98_7654_3210;
const SECRET: &str = "known to the rig alone";

fn section(name: &'static str) -> Section {
    Section::open(RECORDED, name)
}

/// Checks that a message is encoded as recorded, and that the recorded bytes decode to a message that is
/// encoded alike.
fn check_message<T>(section: &mut Section, name: &str, record_type: RecordType, message: &T)
where
    T: Serialize + DeserializeOwned,
{
    let written = record::encode(record_type, message).expect("a record");
    if let Some(recorded) = section.compare(name, &written) {
        let read: T = record::decode(record_type, &recorded).expect("a message");
        assert_eq!(record::encode(record_type, &read).expect("a record"), recorded, "{name}");
    }
}

/// Checks that a value is encoded as recorded, and that the recorded bytes decode to the same value.
fn check_value<T>(section: &mut Section, name: &str, record_type: RecordType, value: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let written = record::encode(record_type, value).expect("a record");
    if let Some(recorded) = section.compare(name, &written) {
        assert_eq!(record::decode::<T>(record_type, &recorded).as_ref(), Ok(value), "{name}");
    }
}

fn position(term: u64, index: u64) -> LogId {
    LogId::new(CommittedLeaderId::new(term, STORE), index)
}

fn voter(head: &str) -> VoterAddress {
    VoterAddress { head: head.into(), address: "192.0.2.17:4410".into(), zone: Some("a".into()) }
}

/// A membership in a joint configuration, with one learner.
fn members() -> openraft::Membership<u64, VoterAddress> {
    let configs = vec![BTreeSet::from([STORE]), BTreeSet::from([STORE, OTHER_STORE])];
    let nodes = BTreeMap::from([(STORE, voter("n0")), (OTHER_STORE, voter("n1")), (77, voter("n2"))]);
    openraft::Membership::new(configs, nodes)
}

fn snapshot_meta() -> SnapshotMeta {
    SnapshotMeta {
        last_log_id: Some(position(16, 89_000)),
        last_membership: Membership::new(Some(position(15, 300)), members()),
        snapshot_id: "16-89000".into(),
    }
}

fn fields() -> ExportFields {
    let pairs = [("plan", "even"), ("shard", "3"), ("volume", "b1")];
    pairs.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect()
}

fn change(key: &str) -> Change {
    let (tenant, export, fields) = ("horvat".into(), "press".into(), fields());
    Change {
        key: key.into(),
        expected_version: Some(70_000),
        command: Command::PutExport { tenant, export, fields },
    }
}

fn entries() -> [(&'static str, Entry); 3] {
    let changes = [change("k1"), Change { expected_version: None, ..change("k2") }];
    let changes = ChangeBatch::new(&changes).expect("an encoding");
    [
        ("blank", Entry { log_id: position(16, 89_001), payload: EntryPayload::Blank }),
        ("changes", Entry { log_id: position(16, 89_002), payload: EntryPayload::Normal(changes) }),
        ("members", Entry { log_id: position(16, 89_003), payload: EntryPayload::Membership(members()) }),
    ]
}

fn objects() -> Vec<VersionedObject> {
    let exports = BTreeMap::from([("press".to_owned(), fields())]);
    vec![
        VersionedObject {
            version: 300,
            key: ObjectKey::Tenant("horvat".into()),
            object: Some(Object::Tenant(exports)),
        },
        VersionedObject { version: 301, key: ObjectKey::Backend("s-7".into()), object: Some(Object::Ban) },
        VersionedObject { version: 302, key: ObjectKey::Tenant("gone".into()), object: None },
    ]
}

fn chunk() -> Chunk {
    Chunk { objects: objects(), up_to: 302, version: 302, restart: false }
}

fn peer(head: &str) -> Peer {
    Peer { head: head.into(), address: "192.0.2.17:4410".into() }
}

fn downstream() -> Downstream {
    Downstream { peer: peer("n4"), store: STORE, zone: Some("a".into()), version: 70_000, incarnation: 300 }
}

fn voters() -> Voters {
    Voters { log_index: 90_000, by_store: BTreeMap::from([(STORE, peer("n0")), (OTHER_STORE, peer("n1"))]) }
}

fn relay() -> Relay {
    let (region, zone) = (Some("north".into()), Some("a".into()));
    Relay { peer: peer("r0"), region, zone, store: STORE, incarnation: 300 }
}

fn subscription() -> Subscription {
    Subscription {
        role: FollowerRole::Relay,
        region: Some("north".into()),
        version: 70_000,
        since: 70_001,
        first_version: 70_002,
        poll_timeout: 3000,
        cached: CachedDigests { route: 0x89ab_cdef, directory: 0x0123_4567 },
        bypass_relays: true,
        summary: Some(SubtreeSummary { heads: 1000, lowest_version: 69_999, sample: vec![downstream()] }),
    }
}

fn update() -> Update {
    let path = vec!["n0".to_owned(), "r0".to_owned()];
    let route = Route { origin: Some(OTHER_STORE), path, leader: Some(peer("n0")), voters: voters() };
    Update {
        version: 70_000,
        age: 1500,
        chunk: Some(chunk()),
        route: Some(route),
        directory: Some(RelayDirectory::new([relay()])),
    }
}

fn status() -> HeadStatus {
    let voter = VoterStatus {
        head: "n0".into(),
        store: STORE,
        address: "192.0.2.17:4410".into(),
        zone: Some("a".into()),
        votes: true,
        matched_index: Some(89_999),
    };
    HeadStatus {
        cluster: "rig".into(),
        head: "n0".into(),
        store: STORE,
        incarnation: 300,
        role: "leader".into(),
        leader: Some("n0".into()),
        term: 17,
        version: 70_000,
        applied_index: 90_000,
        last_index: 90_001,
        voters: vec![voter],
        followers: vec![downstream()],
        path: vec!["n0".into(), "n4".into()],
        age_ms: Some(1500),
        repairs: 2,
        syncs: (1000, 20_000, 400),
        rejected_connections: 3,
        fault: Some("an older copy of its disk".into()),
    }
}

fn distribution() -> DistributionStatus {
    DistributionStatus {
        region: Some("north".into()),
        upstream: Some("r0".into()),
        direct_followers: 16,
        all_followers: 1000,
        lowest_version: 69_999,
        relays: vec![RelayStatus { relay: relay(), followers: 1000 }],
    }
}

fn greeting() -> Greeting {
    Greeting {
        cluster: "rig".into(),
        secret: SECRET.into(),
        head: "n0".into(),
        store: Some(STORE),
        zone: Some("a".into()),
        address: "192.0.2.17:4410".into(),
        incarnation: Incarnation { count: 300, nonce: OTHER_STORE },
        initial_watermark: Watermark { vote_term: 17, last_entry: (16, 90_000) },
        origin: Some(OTHER_STORE),
    }
}

/// Raft requests.
fn raft_requests() -> Vec<(&'static str, PeerRequest)> {
    let append = AppendEntriesRequest {
        vote: Vote::new_committed(17, STORE),
        prev_log_id: Some(position(16, 89_000)),
        entries: entries().map(|(_, entry)| entry).to_vec(),
        leader_commit: Some(position(16, 88_999)),
    };
    let heartbeat = AppendEntriesRequest { entries: Vec::new(), leader_commit: None, ..append.clone() };
    let vote = VoteRequest { vote: Vote::new(18, STORE), last_log_id: Some(position(17, 90_000)) };
    let snapshot = InstallSnapshotRequest {
        vote: Vote::new_committed(17, STORE),
        meta: snapshot_meta(),
        offset: 524_288,
        data: b"a chunk".to_vec(),
        done: true,
    };
    vec![
        ("append", PeerRequest::Append(append)),
        ("heartbeat", PeerRequest::Append(heartbeat)),
        ("vote", PeerRequest::Vote(vote)),
        ("snapshot", PeerRequest::Snapshot(snapshot)),
    ]
}

/// All requests other than those of Raft.
fn other_requests() -> Vec<(&'static str, PeerRequest)> {
    let request = LegacyPollRequest {
        follower: downstream(),
        subtree: Some(vec![downstream()]),
        since: 70_001,
        first_version: 70_002,
        wait_ms: 3000,
    };
    let registration = RelayRegistration { region: Some("north".into()), followers: 1000 };
    vec![
        ("change", PeerRequest::CommitChange(change("k1"), 950)),
        ("latest", PeerRequest::LinearizableVersion),
        ("status", PeerRequest::Status),
        ("begin", PeerRequest::Begin),
        ("silent", PeerRequest::PreVote(Some(position(17, 90_000)))),
        ("silent_with_empty_log", PeerRequest::PreVote(None)),
        ("follow", PeerRequest::LegacyPoll(Box::new(request))),
        ("chunk", PeerRequest::Chunk(70_001, 70_002)),
        ("propose", PeerRequest::SubmitChange(change("line 0123"))),
        ("subscribe", PeerRequest::Subscribe(Box::new(subscription()))),
        ("register_relay", PeerRequest::RegisterRelay(registration)),
        ("distribution", PeerRequest::Distribution),
    ]
}

/// Responses to Raft requests.
fn raft_responses() -> Vec<(&'static str, PeerResponse)> {
    let vote = Vote::new_committed(17, STORE);
    let granted = VoteResponse { vote, vote_granted: true, last_log_id: Some(position(17, 90_000)) };
    let mismatch = SnapshotMismatch {
        expect: SnapshotSegmentId { id: "16-89000".into(), offset: 524_288 },
        got: SnapshotSegmentId { id: "16-89001".into(), offset: 0 },
    };
    let partial = AppendEntriesResponse::PartialSuccess(Some(position(16, 89_001)));
    vec![
        ("append_success", PeerResponse::Append(AppendEntriesResponse::Success)),
        ("append_partial_success", PeerResponse::Append(partial)),
        ("append_conflict", PeerResponse::Append(AppendEntriesResponse::Conflict)),
        (
            "append_higher_vote",
            PeerResponse::Append(AppendEntriesResponse::HigherVote(Vote::new(18, OTHER_STORE))),
        ),
        ("vote", PeerResponse::Vote(granted)),
        ("snapshot", PeerResponse::Snapshot(InstallSnapshotResponse { vote })),
        ("mismatch", PeerResponse::Mismatch(mismatch)),
    ]
}

/// Responses to requests other than those of Raft and polls.
fn other_responses() -> Vec<(&'static str, PeerResponse)> {
    vec![
        ("changed", PeerResponse::Changed(ChangeOutcome::Done { version: 70_000, created: true })),
        ("changed_missing", PeerResponse::Changed(ChangeOutcome::Missing("no tenant horvat".into()))),
        (
            "changed_conflict",
            PeerResponse::Changed(ChangeOutcome::Conflict("there is an export press already".into())),
        ),
        ("changed_stale", PeerResponse::Changed(ChangeOutcome::Stale(69_999))),
        ("changed_reused", PeerResponse::Changed(ChangeOutcome::Reused)),
        ("latest", PeerResponse::LinearizableVersion(70_000)),
        ("status", PeerResponse::Status(Box::new(status()))),
        ("status_of_new_head", PeerResponse::Status(Box::default())),
        ("begun", PeerResponse::Begun),
        ("silent", PeerResponse::PreVote(STORE, true)),
        ("chunk", PeerResponse::Chunk(chunk())),
        ("not_leader", PeerResponse::NotLeader(Some(voter("n1")))),
        ("not_leader_and_none_known", PeerResponse::NotLeader(None)),
        ("refused", PeerResponse::Rejected("has just started".into())),
        ("registered", PeerResponse::Registered),
        ("distribution", PeerResponse::Distribution(Box::new(distribution()))),
    ]
}

/// Responses to polls of followers.
fn poll_responses() -> Vec<(&'static str, PeerResponse)> {
    let (path, leader, voters) = (vec!["n0".to_owned()], Some(peer("n0")), voters());
    let legacy = LegacyUpdateResponse::Chunk { chunk: chunk(), path, age: 1500, leader, voters };
    let full = LegacyUpdateResponse::Full { redirect: vec![peer("n4")] };
    let redirect = Redirect { directory: Some(RelayDirectory::new([relay()])), peers: vec![peer("n4")] };
    vec![
        ("update", PeerResponse::LegacyUpdate(Some(OTHER_STORE), legacy)),
        ("update_full", PeerResponse::LegacyUpdate(None, full)),
        ("subscribed_update", PeerResponse::Subscribed(SubscribeResponse::Update(update()))),
        ("subscribed_redirect", PeerResponse::Subscribed(SubscribeResponse::Redirect(redirect))),
        ("subscribed_retry_after", PeerResponse::Subscribed(SubscribeResponse::RetryAfter(400))),
    ]
}

#[test]
fn every_request_between_heads_keeps_its_encoding() {
    let mut lines = section("call");
    for (name, request) in raft_requests().into_iter().chain(other_requests()) {
        check_message(&mut lines, name, RecordType::Call, &request);
    }
    lines.close();
}

#[test]
fn every_response_between_heads_keeps_its_encoding() {
    let mut lines = section("reply");
    for (name, response) in raft_responses().into_iter().chain(other_responses()).chain(poll_responses()) {
        check_message(&mut lines, name, RecordType::Response, &response);
    }
    lines.close();
}

#[test]
fn every_record_of_a_voter_keeps_its_encoding() {
    let mut lines = section("stored");
    let identity = Identity { store: STORE, incarnation: 300, origin: Some(OTHER_STORE) };
    check_value(&mut lines, "identity", RecordType::Identity, &identity);
    let unadopted = Identity { origin: None, ..identity };
    check_value(&mut lines, "identity_of_no_fleet", RecordType::Identity, &unadopted);
    check_value(&mut lines, "vote", RecordType::Vote, &Vote::new(18, STORE));
    check_value(&mut lines, "vote_committed", RecordType::Vote, &Vote::new_committed(17, STORE));
    check_value(&mut lines, "position", RecordType::Position, &position(16, 89_000));
    check_value(&mut lines, "snapshot_head", RecordType::SnapshotMetadata, &snapshot_meta());
    for (name, entry) in entries() {
        check_value(&mut lines, &format!("entry_{name}"), RecordType::Entry, &entry);
    }
    lines.close();
}

/// Encodes a frame: the length of a record, then the record.
fn framed<T: Serialize>(record_type: RecordType, value: &T) -> Vec<u8> {
    let record = record::encode(record_type, value).expect("a record");
    let mut frame = (record.len() as u32).to_le_bytes().to_vec();
    frame.extend(record);
    frame
}

/// Reads one frame, including its length.
fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut frame = vec![0; 4];
    stream.read_exact(&mut frame).expect("a length");
    let length = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    frame.resize(4 + length, 0);
    stream.read_exact(&mut frame[4..]).expect("a record");
    frame
}

/// Starts a stub voter that accepts one connection and responds to each frame with the next of `responses`.
/// Returns its address, and a handle that returns the frames that it has received.
fn start_stub_voter(responses: Vec<Vec<u8>>) -> (SocketAddr, JoinHandle<Vec<Vec<u8>>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let served = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
        let respond = |response: Vec<u8>| {
            let received = read_frame(&mut stream);
            stream.write_all(&response).expect("a response");
            received
        };
        responses.into_iter().map(respond).collect()
    });
    (address, served)
}

/// The settings of the head `n9` in a cluster with one voter.
fn settings(voter: SocketAddr) -> Settings {
    Settings {
        name: "rig".into(),
        secret: SECRET.into(),
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        dir: PathBuf::new(),
        voters: BTreeMap::from([("n0".to_owned(), voter)]),
        heads: BTreeMap::new(),
        address: None,
        zone: None,
        region: None,
        relay: false,
        sockets: 1024,
        memory: DEFAULT_MEMORY,
    }
}

fn file_of(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("sedgerun-frozen-{}-{name}", std::process::id()))
}

#[test]
fn the_client_encodes_frames_and_a_backup_as_recorded() {
    let responses = [
        ("greeting_answer", framed(RecordType::Greeting, &Ok::<Greeting, HandshakeError>(greeting()))),
        ("reply_latest", framed(RecordType::Response, &PeerResponse::LinearizableVersion(302))),
        ("reply_chunk", framed(RecordType::Response, &PeerResponse::Chunk(chunk()))),
    ];
    let mut lines = section("frame");
    for (name, frame) in &responses {
        lines.compare(name, frame);
    }
    let (address, served) = start_stub_voter(responses.map(|(_, frame)| frame).to_vec());
    let file = file_of("written.backup");
    client::backup(&settings(address), "n9", &file).expect("a backup");
    let received = served.join().expect("the stub voter");
    for (name, frame) in ["greeting", "call_latest", "call_chunk"].iter().zip(&received) {
        lines.compare(name, frame);
    }
    assert_eq!(received.len(), 3);
    lines.close();
    let mut lines = section("backup");
    lines.compare("file", &std::fs::read(&file).expect("a backup"));
    std::fs::remove_file(&file).expect("a backup");
    lines.close();
}

#[test]
fn a_recorded_backup_is_restored_completely() {
    let line = RECORDED.lines().find_map(|line| line.strip_prefix("backup.file ")).expect("a backup");
    let file = file_of("recorded.backup");
    std::fs::write(&file, unhex(line)).expect("a file");
    let responses = vec![
        framed(RecordType::Greeting, &Ok::<Greeting, HandshakeError>(greeting())),
        framed(
            RecordType::Response,
            &PeerResponse::Changed(ChangeOutcome::Done { version: 2, created: true }),
        ),
    ];
    let (address, served) = start_stub_voter(responses);
    client::restore(&settings(address), "n9", &file).expect("a restored backup");
    std::fs::remove_file(&file).expect("a backup");
    let received = served.join().expect("the stub voter");
    match record::decode(RecordType::Call, &received[1][4..]) {
        Ok(PeerRequest::SubmitChange(Change {
            expected_version: None,
            command: Command::Restore(restored),
            ..
        })) => {
            assert_eq!(restored, objects());
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn every_recorded_line_is_in_a_compared_section() {
    assert_sections(RECORDED, &SECTIONS);
}
