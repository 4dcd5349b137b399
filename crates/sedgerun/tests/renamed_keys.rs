//! Renamed settings, commands, metrics and JSON keys of a fleet: the new spelling and the deprecated one beside it.

mod harness;

use harness::Harness;
use harness::standin::Program;
use serde_json::Value;

/// Starts a head whose settings are at fault, and returns what it says before it ends.
fn said_of_faulty(config: &Value, operator: &str) -> String {
    let child = Program::launch(&config.to_string(), Some(operator));
    let ended = child.wait_with_output().expect("an end");
    assert!(!ended.status.success());
    String::from_utf8_lossy(&ended.stderr).into_owned()
}

/// The deprecated and the new spelling of a key in an object, which must both be there and hold the same.
fn both<'a>(object: &'a Value, deprecated: &str, renamed: &str) -> &'a Value {
    assert!(!object[renamed].is_null(), "no {renamed}: {object:#}");
    assert_eq!(object[deprecated], object[renamed]);
    &object[renamed]
}

#[test]
fn voters_are_set_by_either_key_and_the_deprecated_one_is_logged() {
    let harness = Harness::laid(1, 1);
    let (config, deprecated) = harness.files(0);
    let renamed = deprecated.replace("(keepers", "(voters");
    // A short secret ends the start once the settings are read.
    let short = |operator: &str| operator.replace("known to the rig alone", "short");
    let said = said_of_faulty(&config, &short(&deprecated));
    assert!(said.contains("fleet.keepers is deprecated") && said.contains("use fleet.voters"), "{said}");
    let said = said_of_faulty(&config, &short(&renamed));
    assert!(!said.contains("deprecated") && said.contains("fleet.secret is shorter"), "{said}");
    let even = renamed.replace("(voters", "(voters \"n9=127.0.0.1:1\"");
    let said = said_of_faulty(&config, &even);
    assert!(said.contains("fleet.voters names 2: an odd number keeps"), "{said}");
    let neither = renamed.replace("(voters", "(heads");
    let said = said_of_faulty(&config, &neither);
    assert!(said.contains("setting fleet.voters is missing"), "{said}");
}

#[test]
fn both_keys_at_once_are_a_fault_with_key_and_place() {
    let harness = Harness::laid(1, 1);
    let (config, operator) = harness.files(0);
    let twice = operator.replace("(keepers", "(voters \"n0=127.0.0.1:1\")\n  (keepers");
    let line = twice.lines().position(|line| line.contains("(keepers")).expect("a line") + 1;
    let said = said_of_faulty(&config, &twice);
    assert!(said.contains("fleet.voters and fleet.keepers are both given"), "{said}");
    assert!(said.contains(&format!("operator.conf, line {line}, column 3")), "{said}");
}

#[test]
fn commands_metrics_and_json_have_both_spellings() {
    let harness = Harness::begun(3);
    for command in ["voters", "keepers"] {
        let said = harness.ask(0, &[command, "3"]);
        assert!(said.status.success(), "{command}: {}", String::from_utf8_lossy(&said.stderr));
        let even = harness.ask(0, &[command, "4"]);
        assert!(String::from_utf8_lossy(&even.stderr).contains("an odd number"), "{even:?}");
    }
    let metrics = harness.mgmt(0, "show-stat");
    for line in ["app_fleet_is_voter 1\n", "app_fleet_is_keeper 1\n"] {
        assert!(metrics.contains(line), "{metrics}");
    }
    let status = harness.status(harness.leader(&[0, 1, 2]));
    for head in status["heads"].as_array().expect("heads") {
        assert_eq!(both(head, "life", "incarnation"), 1);
        assert_eq!(both(head, "lineage", "path").as_array().map(Vec::len), Some(1));
        assert_eq!(both(head, "keepers", "voters").as_array().map(Vec::len), Some(3));
    }
}

#[test]
fn followers_in_json_have_both_spellings() {
    let mut harness = Harness::laid(1, 2);
    harness.begin();
    harness.until("the follower is reported", || {
        let status = harness.status(0);
        let follower = status["followers"].as_array()?.first()?.clone();
        assert_eq!(both(&follower, "life", "incarnation"), 1);
        let known = status["heads"][0]["followers"].as_array()?.first()?.clone();
        assert_eq!(both(&known, "life", "incarnation"), 1);
        Some(())
    });
}
