//! The encodings of messages between heads and of stored data, which must stay the same byte for byte.
//!
//! Heads of adjacent versions run in one cluster, and a later version opens the stores and backups of an
//! earlier one. The encoding has no names, so renames are safe, but a moved field or variant is decoded as
//! another. Each value is compared with its line in `recorded/formats.txt` in both directions. No test writes
//! the file; after an intentional change of a format, the failure shows the new line.

mod recorded;

use recorded::{Section, assert_sections};
use sedgerun_replication::digest::digest_of;
use sedgerun_replication::follow::LegacyUpdateResponse;
use sedgerun_replication::greeting::{Greeting, HandshakeError, cluster_origin};
use sedgerun_replication::peer::{Downstream, Peer, Voters};
use sedgerun_replication::record::{self, FORMAT_VERSION, HEADER_BYTES, RecordType};
use sedgerun_replication::relay::{FollowerRole, Relay, RelayDirectory, RelayStatus};
use sedgerun_replication::state::{Change, ChangeOutcome, Command, ReplicatedState};
use sedgerun_replication::subscribe::{
    CachedDigests, Redirect, Route, SubscribeResponse, Subscription, SubtreeSummary, Update,
};
use sedgerun_replication::view::{
    Chunk, ExportFields, Object, ObjectKey, Tenant, Transfer, VersionedObject, View, VoterRules,
};
use sedgerun_replication::watermark::{Incarnation, Watermark, Watermarks};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

const RECORDED: &str = include_str!("recorded/formats.txt");
/// Sections of the file: the part of a line before the first dot.
const SECTIONS: [&str; 10] =
    ["command", "change", "outcome", "view", "state", "greeting", "peer", "relay", "subscribe", "record"];
const STORE: u64 = 0x0123_4567_89ab_cdef;
const OTHER_STORE: u64 = 0xfedc_ba98_7654_3210;

fn section(name: &'static str) -> Section {
    Section::open(RECORDED, name)
}

/// Checks that a value is encoded as recorded, and that the recorded bytes are decoded as the value.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(section: &mut Section, name: &str, value: &T) {
    let written = postcard::to_extend(value, Vec::new()).expect("an encoding");
    if let Some(recorded) = section.compare(name, &written) {
        let (read, rest) = postcard::take_from_bytes::<T>(&recorded).expect("a value");
        assert_eq!((&read, rest), (value, &[][..]), "{name}");
    }
}

/// Checks the same for a complete record with its header.
fn check_record<T>(section: &mut Section, name: &str, record_type: RecordType, value: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let written = record::encode(record_type, value).expect("a record");
    if let Some(recorded) = section.compare(name, &written) {
        assert_eq!(record::decode::<T>(record_type, &recorded).as_ref(), Ok(value), "{name}");
    }
}

/// Checks a number that heads compute separately and compare with each other.
fn check_number(section: &mut Section, name: &str, number: u64) {
    section.compare(name, &number.to_be_bytes());
}

fn fields(volume: &str) -> ExportFields {
    let pairs = [("largeClass", "bulk"), ("plan", "even"), ("shard", "3"), ("volume", volume)];
    pairs.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect()
}

fn exports() -> BTreeMap<String, ExportFields> {
    BTreeMap::from([("press".to_owned(), fields("b1")), ("proofs".to_owned(), fields("b2"))])
}

fn rules() -> VoterRules {
    VoterRules {
        voters: 5,
        dead_after_ms: 90_000,
        barred_heads: BTreeSet::from(["n7".to_owned(), "n8".to_owned()]),
        declared_dead: BTreeSet::from([STORE, OTHER_STORE]),
    }
}

fn objects() -> Vec<VersionedObject> {
    vec![
        VersionedObject {
            version: 300,
            key: ObjectKey::Tenant("horvat".into()),
            object: Some(Object::Tenant(exports())),
        },
        VersionedObject { version: 301, key: ObjectKey::Backend("s-7".into()), object: Some(Object::Ban) },
        VersionedObject { version: 302, key: ObjectKey::Rules, object: Some(Object::Rules(rules())) },
        VersionedObject { version: 303, key: ObjectKey::Tenant("gone".into()), object: None },
        VersionedObject { version: 304, key: ObjectKey::Backend("s-8".into()), object: None },
    ]
}

fn chunk() -> Chunk {
    Chunk { objects: objects(), up_to: 304, version: 70_000, restart: true }
}

/// The view of a follower after a transfer of everything, which sets every field.
fn view() -> View {
    let mut view = View::default();
    let complete = Chunk { version: 304, ..chunk() };
    assert_eq!(Transfer::default().accept(&mut view, complete), Ok(true));
    view
}

fn change(key: &str, expect: Option<u64>, command: Command) -> Change {
    Change { key: key.into(), expected_version: expect, command }
}

fn put_export() -> Command {
    Command::PutExport { tenant: "horvat".into(), export: "press".into(), fields: fields("b1") }
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

fn greeting() -> Greeting {
    Greeting {
        cluster: "rig".into(),
        secret: "known to the rig alone".into(),
        head: "n0".into(),
        store: Some(STORE),
        zone: Some("a".into()),
        address: "192.0.2.17:4410".into(),
        incarnation: Incarnation { count: 300, nonce: OTHER_STORE },
        initial_watermark: Watermark { vote_term: 17, last_entry: (16, 90_000) },
        origin: Some(OTHER_STORE),
    }
}

fn relay(head: &str) -> Relay {
    Relay {
        peer: peer(head),
        region: Some("north".into()),
        zone: Some("a".into()),
        store: STORE,
        incarnation: 300,
    }
}

fn directory() -> RelayDirectory {
    RelayDirectory::new([relay("r1"), relay("r0")])
}

fn route() -> Route {
    Route {
        origin: Some(OTHER_STORE),
        path: vec!["n0".into(), "r0".into()],
        leader: Some(peer("n0")),
        voters: voters(),
    }
}

fn summary() -> SubtreeSummary {
    SubtreeSummary { heads: 1000, lowest_version: 69_999, sample: vec![downstream()] }
}

fn update() -> Update {
    Update {
        version: 70_000,
        age: 1500,
        chunk: Some(chunk()),
        route: Some(route()),
        directory: Some(directory()),
    }
}

fn redirect() -> Redirect {
    Redirect { directory: Some(directory()), peers: vec![peer("n4"), peer("n5")] }
}

#[test]
fn commands_keep_their_encoding() {
    let mut lines = section("command");
    let (tenant, export) = ("horvat".to_owned(), "press".to_owned());
    check(&mut lines, "put_tenant", &Command::PutTenant { tenant: tenant.clone(), exports: exports() });
    check(&mut lines, "put_export", &put_export());
    check(&mut lines, "delete_tenant", &Command::DeleteTenant { tenant: tenant.clone() });
    check(&mut lines, "delete_export", &Command::DeleteExport { tenant, export });
    check(&mut lines, "ban", &Command::Ban { backend: "s-7".into(), banned: true });
    check(&mut lines, "lift_ban", &Command::Ban { backend: "s-7".into(), banned: false });
    check(&mut lines, "set_voters", &Command::SetVoters(5));
    check(&mut lines, "set_dead_after", &Command::SetDeadAfter(90_000));
    check(&mut lines, "allow_voter", &Command::AllowVoter { head: "n7".into(), allowed: true });
    check(&mut lines, "bar_voter", &Command::AllowVoter { head: "n7".into(), allowed: false });
    check(&mut lines, "declare_dead", &Command::DeclareDead(STORE));
    check(&mut lines, "restore", &Command::Restore(objects()));
    lines.close();
}

#[test]
fn changes_and_outcomes_keep_their_encoding() {
    let mut lines = section("change");
    check(&mut lines, "expecting", &change("line 0123", Some(70_000), put_export()));
    check(&mut lines, "of_any_version", &change("line 0123", None, Command::SetVoters(3)));
    check(
        &mut lines,
        "of_one_entry",
        &vec![change("a", Some(0), put_export()), change("b", None, put_export())],
    );
    lines.close();
    let mut lines = section("outcome");
    check(&mut lines, "done", &ChangeOutcome::Done { version: 70_000, created: true });
    check(&mut lines, "missing", &ChangeOutcome::Missing("no tenant horvat".into()));
    check(&mut lines, "conflict", &ChangeOutcome::Conflict("there is an export press already".into()));
    check(&mut lines, "stale", &ChangeOutcome::Stale(69_999));
    check(&mut lines, "reused", &ChangeOutcome::Reused);
    lines.close();
}

#[test]
fn the_view_and_its_parts_keep_their_encoding() {
    let mut lines = section("view");
    check(&mut lines, "tenant", &Tenant { version: 300, exports: exports() });
    check(&mut lines, "rules", &rules());
    check(&mut lines, "key_tenant", &ObjectKey::Tenant("horvat".into()));
    check(&mut lines, "key_backend", &ObjectKey::Backend("s-7".into()));
    check(&mut lines, "key_rules", &ObjectKey::Rules);
    check(&mut lines, "object_tenant", &Object::Tenant(exports()));
    check(&mut lines, "object_ban", &Object::Ban);
    check(&mut lines, "object_rules", &Object::Rules(rules()));
    for (name, object) in ["tenant", "ban", "rules", "gone_tenant", "gone_ban"].iter().zip(objects()) {
        check(&mut lines, &format!("versioned_{name}"), &object);
    }
    check(&mut lines, "chunk", &chunk());
    check(&mut lines, "whole", &view());
    check(&mut lines, "empty", &View::default());
    lines.close();
}

#[test]
fn the_replicated_state_keeps_its_encoding() {
    let mut state = ReplicatedState::default();
    let changes = [
        change("k2", None, Command::PutTenant { tenant: "horvat".into(), exports: exports() }),
        change("k1", Some(0), Command::PutTenant { tenant: "other".into(), exports: BTreeMap::new() }),
        change("k0", None, Command::Ban { backend: "s-7".into(), banned: true }),
        change("k3", None, Command::DeleteTenant { tenant: "other".into() }),
        change("k4", None, Command::AllowVoter { head: "n7".into(), allowed: false }),
        change("k5", Some(9), Command::DeleteTenant { tenant: "horvat".into() }),
        change("k6", None, Command::DeleteTenant { tenant: "nobody".into() }),
        change("k7", None, Command::SetVoters(4)),
    ];
    for change in changes {
        state.apply(&change);
    }
    let mut lines = section("state");
    check(&mut lines, "filled", &state);
    check(&mut lines, "of_a_view", &ReplicatedState::from_view(view()));
    check(&mut lines, "empty", &ReplicatedState::default());
    lines.close();
}

#[test]
fn greetings_handshake_errors_and_watermarks_keep_their_encoding() {
    let mut lines = section("greeting");
    check(&mut lines, "of_head", &greeting());
    check(&mut lines, "of_command_line", &Greeting { store: None, zone: None, origin: None, ..greeting() });
    check(&mut lines, "answer", &Ok::<Greeting, HandshakeError>(greeting()));
    let errors = [
        ("fleet", HandshakeError::OtherCluster),
        ("secret", HandshakeError::WrongSecret),
        ("origin", HandshakeError::OtherOrigin),
        ("name", HandshakeError::DuplicateName),
        ("rolled_back", HandshakeError::RolledBack),
    ];
    for (name, error) in errors {
        check(&mut lines, &format!("refusal_{name}"), &error);
        check(&mut lines, &format!("answer_refused_{name}"), &Err::<Greeting, HandshakeError>(error));
    }
    check(&mut lines, "incarnation", &Incarnation { count: 300, nonce: OTHER_STORE });
    check(&mut lines, "watermark", &Watermark { vote_term: 17, last_entry: (16, 90_000) });
    let mut watermarks = Watermarks::default();
    watermarks.observe(STORE, greeting().incarnation, greeting().initial_watermark);
    watermarks.observe(
        OTHER_STORE,
        Incarnation { count: 1, nonce: 2 },
        Watermark { vote_term: 3, last_entry: (4, 5) },
    );
    check(&mut lines, "watermarks", &watermarks);
    lines.close();
}

#[test]
fn peers_and_voters_keep_their_encoding() {
    let mut lines = section("peer");
    check(&mut lines, "peer", &peer("n0"));
    check(&mut lines, "downstream", &downstream());
    check(&mut lines, "downstream_without_zone", &Downstream { zone: None, ..downstream() });
    check(&mut lines, "voters", &voters());
    lines.close();
}

#[test]
fn relays_and_their_directory_keep_their_encoding() {
    let mut lines = section("relay");
    check(&mut lines, "role_head", &FollowerRole::Head);
    check(&mut lines, "role_relay", &FollowerRole::Relay);
    check(&mut lines, "relay", &relay("r0"));
    check(&mut lines, "relay_without_places", &Relay { region: None, zone: None, ..relay("r0") });
    check(&mut lines, "status", &RelayStatus { relay: relay("r0"), followers: 1000 });
    check(&mut lines, "directory", &directory());
    lines.close();
}

#[test]
fn subscription_messages_and_digests_keep_their_encoding() {
    let mut lines = section("subscribe");
    let subscription = Subscription {
        role: FollowerRole::Relay,
        region: Some("north".into()),
        version: 70_000,
        since: 70_001,
        first_version: 70_002,
        poll_timeout: 3000,
        cached: CachedDigests { route: 0x89ab_cdef, directory: 0x0123_4567 },
        bypass_relays: true,
        summary: Some(summary()),
    };
    check(&mut lines, "held_digests", &subscription.cached);
    check(&mut lines, "summary", &summary());
    check(&mut lines, "subscription", &subscription);
    check(
        &mut lines,
        "subscription_unchanged",
        &Subscription { region: None, summary: None, ..subscription },
    );
    check(&mut lines, "route", &route());
    check(&mut lines, "update", &update());
    check(&mut lines, "update_unchanged", &Update { chunk: None, route: None, directory: None, ..update() });
    check(&mut lines, "redirect", &redirect());
    check(&mut lines, "reply_update", &SubscribeResponse::Update(update()));
    check(&mut lines, "reply_redirect", &SubscribeResponse::Redirect(redirect()));
    check(&mut lines, "reply_retry_after", &SubscribeResponse::RetryAfter(400));
    let Route { path, leader, voters, .. } = route();
    check(
        &mut lines,
        "legacy_chunk",
        &LegacyUpdateResponse::Chunk { chunk: chunk(), path, age: 1500, leader, voters },
    );
    check(&mut lines, "legacy_full", &LegacyUpdateResponse::Full { redirect: redirect().peers });
    // Heads compare digests: a head that computed another one would be sent the whole part again with each
    // poll.
    check_number(&mut lines, "digest_of_route", u64::from(digest_of(&route())));
    check_number(&mut lines, "digest_of_directory", u64::from(directory().digest()));
    check_number(&mut lines, "digest_of_empty_directory", u64::from(RelayDirectory::default().digest()));
    check_number(&mut lines, "origin", cluster_origin([OTHER_STORE, STORE]));
    lines.close();
}

#[test]
fn records_of_every_type_keep_their_header_and_checksum() {
    let mut lines = section("record");
    let types = [
        ("identity", RecordType::Identity),
        ("vote", RecordType::Vote),
        ("entry", RecordType::Entry),
        ("position", RecordType::Position),
        ("snapshot_head", RecordType::SnapshotMetadata),
        ("snapshot", RecordType::Snapshot),
        ("greeting", RecordType::Greeting),
        ("call", RecordType::Call),
        ("reply", RecordType::Response),
        ("watermarks", RecordType::Watermarks),
        ("view", RecordType::View),
        ("backup", RecordType::Backup),
    ];
    for (name, record_type) in types {
        check_record(&mut lines, name, record_type, &("a body".to_owned(), Some(STORE)));
    }
    check_record(
        &mut lines,
        "greeting_answer",
        RecordType::Greeting,
        &Ok::<Greeting, HandshakeError>(greeting()),
    );
    check_record(&mut lines, "snapshot_state", RecordType::Snapshot, &ReplicatedState::from_view(view()));
    check_record(&mut lines, "followed_view", RecordType::View, &view());
    lines.close();
    assert_eq!((FORMAT_VERSION, HEADER_BYTES), (2, 6));
}

#[test]
fn every_recorded_line_belongs_to_a_compared_section() {
    assert_sections(RECORDED, &SECTIONS);
}
