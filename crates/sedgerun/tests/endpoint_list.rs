//! How an endpoint list is read: what is ignored, what is refused and with which message, and what is too large.

use sedgerun::discovery::list::{
    EndpointEntry, EndpointList, ListBounds, ListError, SizeUnit, TooLarge, read_list,
};
use sedgerun::resource_limits::ResourceLimits;
use sedgerun_policy::Readiness;
use serde_json::{Value, json};

const BOUNDS: ListBounds = ListBounds { bytes: 1 << 20, entries: 100 };

fn entry() -> Value {
    json!({"instanceId": "s-1", "hostPort": "127.0.0.1:5000", "zone": "b", "machineType": "m2", "cell": 3,
        "lifecycle": "ready", "weight": 1.0, "startedAtMs": 7})
}

fn document(instances: &[Value]) -> Value {
    json!({"generation": 41, "reset": true, "instances": instances})
}

fn read(text: &str) -> Result<EndpointList, ListError> {
    read_list(text.as_bytes(), &["a".to_owned(), "b".to_owned()], BOUNDS)
}

/// The message with which a text is refused.
fn refusal(text: &str) -> String {
    read(text).expect_err("an error").to_string()
}

/// The entry with a key replaced, or removed where the value is `None`.
fn altered(key: &str, value: Option<Value>) -> Value {
    let mut entry = entry();
    let fields = entry.as_object_mut().expect("an object");
    match value {
        Some(value) => fields.insert(key.to_owned(), value),
        None => fields.remove(key),
    };
    entry
}

fn expected() -> EndpointEntry {
    EndpointEntry {
        id: "s-1".into(),
        readiness: Readiness::Ready,
        address: Some(([127, 0, 0, 1], 5000).into()),
        shard: 3,
        zone: 1,
        started_at: 7000,
    }
}

#[test]
fn a_list_is_read_compact_or_indented() {
    let document = document(&[entry(), altered("instanceId", Some(json!("s-2")))]);
    for text in [document.to_string(), serde_json::to_string_pretty(&document).expect("text")] {
        let list = read(&text).expect("a list");
        assert_eq!((list.generation, list.is_full, list.entries.len()), (41, true, 2));
        assert_eq!(list.entries[0], expected());
        assert_eq!(list.entries[1].id, "s-2");
    }
}

/// Also of any type and depth, and at any place.
#[test]
fn unknown_keys_are_ignored() {
    let deep = "[".repeat(100) + &"]".repeat(100);
    let entry = entry().to_string().replacen('{', &format!("{{\"more\":{deep},\"a\":{{\"b\":null}},"), 1);
    let text = format!(
        r#"{{"x":{{"instances":5}},"instances":[{entry}],"y":-1.5,"reset":false,"generation":0,"z":"\u00e4"}}"#
    );
    let list = read(&text).expect("a list");
    assert_eq!(list, EndpointList { generation: 0, is_full: false, entries: vec![expected()] });
}

#[test]
fn the_last_value_of_a_duplicate_key_holds() {
    let entry = entry().to_string().replacen('{', r#"{"cell":"x","cell":9,"instanceId":"","#, 1);
    let text = format!(
        r#"{{"generation":1,"instances":[5],"reset":true,"instances":[{entry}],"generation":2,"reset":false}}"#
    );
    assert_eq!(
        read(&text).expect("a list"),
        EndpointList { generation: 2, is_full: false, entries: vec![expected()] }
    );
}

#[test]
fn a_duplicate_id_is_two_entries_in_order() {
    let list = read(&document(&[entry(), altered("lifecycle", Some(json!("draining")))]).to_string());
    let states: Vec<_> = list.expect("a list").entries.iter().map(|entry| entry.readiness).collect();
    assert_eq!(states, [Readiness::Ready, Readiness::Draining]);
}

#[test]
fn optional_keys_may_be_missing_or_of_another_type() {
    for key in ["zone", "startedAtMs"] {
        for value in [None, Some(json!(null)), Some(json!({"a": [1]})), Some(json!(-3)), Some(json!(true))] {
            let list = read(&document(&[altered(key, value)]).to_string()).expect("a list");
            let entry = &list.entries[0];
            assert_eq!(if key == "zone" { u64::from(entry.zone) } else { entry.started_at }, 0);
        }
    }
    let elsewhere = document(&[altered("zone", Some(json!("q")))]).to_string();
    assert_eq!(read(&elsewhere).expect("a list").entries[0].zone, 0);
}

#[test]
fn a_removed_backend_needs_no_address_and_no_shard() {
    let gone = json!({"instanceId": "s-1", "lifecycle": "gone"});
    let list = read(&document(&[gone]).to_string()).expect("a list");
    assert_eq!((list.entries[0].address, list.entries[0].shard), (None, 0));
}

#[test]
fn a_malformed_entry_is_named_with_its_key() {
    let bad: [(&str, Option<Value>); 12] = [
        ("instanceId", None),
        ("instanceId", Some(json!(""))),
        ("instanceId", Some(json!(5))),
        ("lifecycle", None),
        ("lifecycle", Some(json!("asleep"))),
        ("lifecycle", Some(json!(["ready"]))),
        ("hostPort", None),
        ("hostPort", Some(json!("localhost"))),
        ("hostPort", Some(json!({}))),
        ("cell", Some(json!(-1))),
        ("cell", Some(json!(1u64 << 32))),
        ("cell", Some(json!(3.5))),
    ];
    for (key, value) in bad {
        let mut instances = vec![entry(); 7];
        instances.push(altered(key, value));
        instances.push(entry());
        let text = document(&instances).to_string();
        assert_eq!(refusal(&text), format!("instances.7.{key} is missing or malformed"));
    }
    for other in [json!(5), json!("s-1"), json!(null), json!([]), json!({})] {
        let text = document(&[entry(), other]).to_string();
        assert_eq!(refusal(&text), "instances.1.instanceId is missing or malformed");
    }
}

#[test]
fn a_document_without_its_keys_is_refused_by_name() {
    for text in ["5", "null", "[]", "{}", r#""text""#, r#"{"generation":-1}"#, r#"{"generation":"1"}"#] {
        assert_eq!(refusal(text), "generation is not a number", "{text}");
    }
    for text in [r#"{"generation":1}"#, r#"{"generation":1,"reset":1,"instances":[]}"#] {
        assert_eq!(refusal(text), "reset is neither true nor false", "{text}");
    }
    for instances in ["", r#","instances":{}"#, r#","instances":null"#, r#","instances":"[]""#] {
        let text = format!(r#"{{"generation":1,"reset":true{instances}}}"#);
        assert_eq!(refusal(&text), "instances is not a list", "{text}");
    }
}

/// Wherever it is cut; and with anything behind it.
#[test]
fn text_that_is_not_json_is_refused() {
    let text = document(&[entry(), entry()]).to_string();
    for length in 0..text.len() {
        assert!(matches!(read(&text[..length]), Err(ListError::Syntax(_))), "{}", &text[..length]);
    }
    assert!(matches!(read(&format!("{text}]")), Err(ListError::Syntax(_))));
    assert!(read(&format!("{text}\n ")).is_ok());
    assert!(matches!(read_list(b"\xff\xfe", &[], BOUNDS), Err(ListError::Syntax(_))));
}

#[test]
fn a_list_over_a_bound_is_one_error_with_its_size_and_the_bound() {
    let full = document(&vec![entry(); 100]).to_string();
    assert_eq!(read(&full).expect("a full list").entries.len(), 100);
    let text = document(&vec![entry(); 140]).to_string();
    let too_large = TooLarge { size: 140, limit: 100, unit: SizeUnit::Entries };
    assert!(matches!(read(&text), Err(ListError::TooLarge(found)) if found == too_large));
    assert_eq!(
        refusal(&text),
        "the list is too large: 140 entries or more, over the 100 that limits.memory_mb allows"
    );
    let text = full + &" ".repeat(BOUNDS.bytes);
    let size = text.len();
    assert_eq!(
        refusal(&text),
        format!("the list is too large: {size} bytes or more, over the 1048576 that limits.memory_mb allows")
    );
}

#[test]
fn the_bounds_follow_from_the_memory_limit() {
    let bounds = |memory_mb| ResourceLimits::new(1024, memory_mb).list;
    assert_eq!(bounds(8), ListBounds { bytes: 1 << 20, entries: 4096 });
    assert_eq!(bounds(192), ListBounds { bytes: 12 << 20, entries: 49_152 });
    assert_eq!(bounds(384), ListBounds { bytes: 24 << 20, entries: 98_304 });
}
