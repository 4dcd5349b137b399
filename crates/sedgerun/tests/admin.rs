//! The administration API of a head without a fleet, and what 9P clients see of its changes.

mod standin;

use sedgerun_protocol_9p::Message;
use serde_json::json;
use standin::{Client, Discovery, Fault, Program, StandIn, config, operator};
use std::thread;
use std::time::Duration;

const TOKEN: &str = "a-token-for-the-tests";

fn call(program: &Program, token: &str, request: &str, body: &str) -> (u16, serde_json::Value) {
    let head = format!("{request} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {token}\r\n");
    let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    let (head, body) = Program::ask_at(program.admin.expect("an API"), &request);
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    (status, serde_json::from_str(&body).unwrap_or_default())
}

#[test]
fn tenants_are_listed_added_changed_and_removed() {
    let backend = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let operator_file = format!("{}\nadmin.listen=127.0.0.1:0\nadmin.token={TOKEN}", operator(&[&backend]));
    let program = Program::start(&config(discovery.address), Some(&operator_file));
    thread::sleep(Duration::from_millis(100));
    let api = |request: &str, body: &str| call(&program, TOKEN, request, body);

    assert_eq!(call(&program, "a-token-for-the-tesst", "GET /v1/tenants", "").0, 401);
    assert_eq!(call(&program, "", "DELETE /v1/tenants/horvat", "").0, 401);
    let (status, listed) = api("GET /v1/tenants", "");
    assert_eq!((status, &listed["tenants"][0]["tenant"]), (200, &"horvat".into()));
    assert_eq!(listed["tenants"][0]["exports"].as_array().map(Vec::len), Some(2));

    let export = r#"{"volume":"b1","plan":"even","shard":3,"readClass":"read","writeClass":"write","largeClass":"bulk"}"#;
    let (status, created) = api("PUT /v1/tenants/novak/exports/maps", export);
    assert_eq!((status, &created["exports"][0]["plan"]), (201, &"even".into()));
    let mut client = Client::attach(program.ninep.expect("9P"), "maps");
    assert!(matches!(client.walk(1, &["proof"]), Message::Rwalk { .. }));

    let (status, refusal) =
        api("PUT /v1/tenants/novak/exports/maps", &export.replace("\"write\"", "\"read\""));
    assert_eq!(
        (status, refusal["error"].as_str()),
        (400, Some("setting writeClass names a class that may run twice"))
    );
    assert_eq!(api("PUT /v1/tenants/novak/exports/maps", &export.replace("even", "odd")).0, 400);
    assert_eq!(api("PUT /v1/tenants/novak/exports/press", export).0, 409);
    assert_eq!(api("PUT /v1/tenants/novak", "{}").0, 400);
    // Nothing of what was rejected has taken effect.
    assert!(matches!(client.walk(2, &["proof"]), Message::Rwalk { .. }));

    assert_eq!(api("PUT /v1/tenants/novak/exports/maps", &export.replace("b1", "b2")).0, 200);
    let changed = Message::Rerror { ename: "export maps has changed".into() };
    assert_eq!(client.walk(3, &["proof"]), changed);
    assert_eq!(api("DELETE /v1/tenants/novak", "").0, 204);
    assert_eq!(api("GET /v1/tenants/novak", "").0, 404);
    assert_eq!(api("DELETE /v1/tenants/novak", "").0, 404);
    assert_eq!(api("POST /v1/tenants/horvat", "").0, 405);
    assert_eq!(api("GET /v2", "").0, 404);
    assert_eq!(api("GET /v1/status", "").1["ninepSessions"], 1);
}

/// Guards against tenants that are accepted until the head is over its memory limit.
#[test]
fn a_tenant_that_a_head_without_a_fleet_has_no_memory_for_is_refused() {
    const EXPORTS: usize = 250;
    /// More tenants than fit into the memory of a head of 32 MB.
    const TOO_MANY: usize = 200;
    let backend = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let operator_file = format!("{}\nadmin.listen=127.0.0.1:0\nadmin.token={TOKEN}", operator(&[&backend]));
    let mut config = config(discovery.address);
    config["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 384});
    let program = Program::start(&config, Some(&operator_file));
    let api = |request: &str, body: &str| call(&program, TOKEN, request, body);
    let tenant = |number: usize| {
        let export = |index: usize| {
            json!({"name": format!("e{number}-{index}"), "volume": "b1", "plan": "even", "shard": 3,
                "readClass": "read", "writeClass": "write", "largeClass": "bulk"})
        };
        json!({"exports": (0..EXPORTS).map(export).collect::<Vec<_>>()}).to_string()
    };
    let answers =
        (0..TOO_MANY).map(|number| (number, api(&format!("PUT /v1/tenants/t{number}"), &tenant(number))));
    let refused = answers.into_iter().find(|(_, (status, _))| *status != 201);
    let (number, (status, refusal)) = refused.expect("a tenant is refused");
    let reason = refusal["error"].as_str().unwrap_or_default();
    assert!(
        status == 409 && reason.contains("limits.memory_mb") && number > 1,
        "{number}: {status} {reason}"
    );
    // What is there can be changed, and one that goes makes room.
    assert_eq!(api("PUT /v1/tenants/t0", &tenant(0)).0, 200);
    assert_eq!(api("DELETE /v1/tenants/t1", "").0, 204);
    assert_eq!(api(&format!("PUT /v1/tenants/t{number}"), &tenant(number)).0, 201);
    assert!(program.peak_memory_kib() <= 32 * 1024, "{}", program.peak_memory_kib());
}
