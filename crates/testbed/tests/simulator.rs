//! The simulator as a whole: it plays every shipped scenario the same each time, the auditor sees each injected
//! fault, and scripts that cannot be read say why.

use sedgerun_testbed::auditor::Rule;
use sedgerun_testbed::experiment::simulate;
use sedgerun_testbed::scenario::Scenario;
use sedgerun_testbed::simulator::InjectedBug;
use serde_json::Value;
use std::collections::BTreeSet;
use std::thread;

fn shipped() -> Vec<Scenario> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let mut all = Vec::new();
    for entry in std::fs::read_dir(folder).expect("scenarios") {
        let path = entry.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a scenario");
        all.push(Scenario::read(&text).unwrap_or_else(|faults| panic!("{}: {faults}", path.display())));
    }
    all.sort_by(|a, b| a.name.cmp(&b.name));
    all
}

fn scenario(text: &str) -> Scenario {
    Scenario::read(text).unwrap_or_else(|faults| panic!("{faults}"))
}

fn play(scenario: &Scenario, seed: u64, bug: Option<InjectedBug>) -> Value {
    simulate(scenario, seed, bug).expect("settings that hold")
}

fn broken(result: &Value) -> BTreeSet<String> {
    result["breaches"].as_object().expect("an object").keys().cloned().collect()
}

#[test]
fn every_shipped_scenario_plays_the_same_each_time_and_breaks_no_rule() {
    let all = shipped();
    assert!(all.len() >= 8, "{} scenarios", all.len());
    let played = all.into_iter().map(|scenario| {
        // Another thread, another allocation, other hash seeds: the digest is the same.
        thread::spawn(move || {
            let other = scenario.clone();
            let beside = thread::spawn(move || play(&other, other.seed, None));
            let (here, there) = (play(&scenario, scenario.seed, None), beside.join().expect("a result"));
            assert_eq!(here["digest"], there["digest"], "{}", scenario.name);
            assert_eq!(here["service"], there["service"], "{}", scenario.name);
            assert_eq!(here["broken"], 0, "{}: {}", scenario.name, here["told"]);
            assert!(here["requests"].as_u64().expect("a count") > 500, "{}", scenario.name);
            let next = play(&scenario, scenario.seed + 1, None);
            assert_ne!(here["digest"], next["digest"], "{}: another seed is another morning", scenario.name);
        })
    });
    let played: Vec<_> = played.collect();
    played.into_iter().for_each(|one| one.join().expect("no panic"));
}

#[test]
fn each_injected_bug_is_caught_and_named() {
    let rough = scenario(
        "(scenario rough (seconds 15) (load 0.5) (at 3 (cold (boxes 1))) (between 5 9 (drain (boxes 2)))
           (at 7 (die (boxes 3))) (at 10 (replace (boxes 4))) (at 12 (die (boxes 5))))",
    );
    assert_eq!(play(&rough, 3, None)["broken"], 0, "without one it is clean");
    let caught = [
        (InjectedBug::AnswerTwice, Rule::TwoAnswers),
        (InjectedBug::SwallowAnswer, Rule::NoAnswer),
        (InjectedBug::SendTwice, Rule::TwoAttempts),
        (InjectedBug::WriteAgain, Rule::WriteAgain),
        (InjectedBug::IgnoreDrains, Rule::AfterDrain),
        (InjectedBug::FloodLastStarted, Rule::Overloaded),
        (InjectedBug::MixAnswers, Rule::CorruptAnswer),
        (InjectedBug::StarveVolume, Rule::UnderReservation),
    ];
    assert_eq!(caught.len(), InjectedBug::ALL.len());
    for (bug, rule) in caught {
        // Volume 0 is of the smallest plan: it is starved where its plan has a reserve worth judging.
        let mut scenario = rough.clone();
        if bug == InjectedBug::StarveVolume {
            scenario.set("plan.basic.size", &["4"]).expect("a size");
            scenario.set("traffic.volume-shards", &["1"]).expect("a count");
        }
        let found = broken(&play(&scenario, 3, Some(bug)));
        assert!(found.contains(rule.name()), "{bug:?} is seen as {found:?}");
    }
}

#[test]
fn a_script_that_kills_all_boxes_or_acts_at_its_end_leaves_nobody_without_an_answer() {
    let all = scenario("(scenario all (seconds 10) (load 0.5) (at 4 (die (boxes all))))");
    let result = play(&all, 1, None);
    assert_eq!(result["broken"], 0, "{}", result["told"]);
    let (served, due) = (result["fates"]["in time"].as_u64(), result["requests"].as_u64());
    assert!(served.expect("a count") < due.expect("a count") / 2 + 100);
    assert_eq!(result["fates"]["silent"], 0);
    let last =
        scenario("(scenario last (seconds 8) (load 0.5) (at 8 (die (boxes all))) (at 8 (kill (heads all))))");
    let result = play(&last, 1, None);
    assert_eq!(result["broken"], 0, "{}", result["told"]);
    assert_eq!(result["marks"].as_array().expect("marks").len(), 2);
}

#[test]
fn malformed_scripts_say_key_line_and_column() {
    for (text, said) in [
        ("(scenario a\n  (heads 0))", "heads is out of range, 1 to 1000: 0 (line 2, column 3)"),
        ("(scenario a\n  (box (colour 3)))", "setting box.colour is unknown (line 2, column 8)"),
        (
            "(scenario a (seconds 5)\n (at 9 (die (boxes 1))))",
            "lies behind the end of the scenario (line 2, column 2)",
        ),
        ("(scenario a (at 1 (die (boxes 77))))", "die.boxes has no 77: there are 0 to 8 (line 1, column 31)"),
        (
            "(scenario a (at 1 (slow (boxes 1) (times 2))))",
            "slow is no act that stands in at (line 1, column 19)",
        ),
        ("(scenario a (between 3 1 (lag (s 1))))", "between two that rise"),
        ("(scenario a (between 1 3 (lag (s 1) (m 2))))", "lag.m is unknown (line 1, column 37)"),
        (
            "(scenario a (class read (aim-ms soon)))",
            "class.read.aim-ms is not a figure: soon (line 1, column 25)",
        ),
        ("(scenario a (load 0.5)", "malformed S-expression"),
        ("(rehearsal a)", "a script is one form"),
    ] {
        let faults = Scenario::read(text).expect_err(text).to_string();
        assert!(faults.contains(said), "{text}\n{faults}");
    }
    let several = Scenario::read("(scenario a (heads 0) (boxes x) (at 1 (melt)))").expect_err("faults");
    assert_eq!(several.0.len(), 3, "{several}");
}
