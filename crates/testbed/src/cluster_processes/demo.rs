//! A demo for newcomers: five heads on loopback, changes, the leader lost with its disk; nothing is lost and the copies
//! return.

use super::error::ClusterProcessError;
use super::harness::Harness;
use std::path::Path;
use std::time::Instant;

/// Changes before the loss, and after the copies have returned.
const CHANGES: usize = 60;
const TENANT: &str = "horvat";

/// Plays it, and prints each step; an error is what did not come about.
pub fn play(program: &Path, print: impl Fn(&str)) -> Result<(), ClusterProcessError> {
    let begun = Instant::now();
    let mut harness = Harness::begin(program, 3, 5)?;
    print(&format!("five heads, three of which keep ({:.1} s)", begun.elapsed().as_secs_f64()));
    let leader = harness.leader().ok_or(ClusterProcessError::NoLeader)?;
    let mut settled: Vec<String> = Vec::new();
    for _ in 0..CHANGES {
        settle_change(&harness, &mut settled)?;
    }
    print(&format!("{CHANGES} changes, each at another head, acknowledged"));
    let lost = Instant::now();
    harness.lose(leader);
    print(&format!("n{leader}, which led, is killed, and its disk is gone"));
    settle_change(&harness, &mut settled)?;
    print(&format!("the next change is acknowledged after {:.2} s", lost.elapsed().as_secs_f64()));
    harness.start(leader)?;
    harness.until("three keep again", |harness| (harness.voters() == Some(3)).then_some(()))?;
    print(&format!("three keep all of it again after {:.2} s", lost.elapsed().as_secs_f64()));
    for _ in 0..CHANGES {
        settle_change(&harness, &mut settled)?;
    }
    check_all_heads(&harness, &settled)?;
    print(&format!("all {} changes are there, read at each of the five heads", settled.len()));
    print(&harness.status(false).unwrap_or_default());
    print(&format!("{:.1} s in all", begun.elapsed().as_secs_f64()));
    Ok(())
}

/// Makes a change at the next head in turn.
fn settle_change(harness: &Harness, settled: &mut Vec<String>) -> Result<(), ClusterProcessError> {
    let name = format!("e{}", settled.len());
    let up = harness.up();
    let head = up[settled.len() % up.len()];
    harness.until("a change is settled", |harness| {
        harness.admin_client(head).put(TENANT, &name, &name).then_some(())
    })?;
    settled.push(name);
    Ok(())
}

/// All changes are at each head.
fn check_all_heads(harness: &Harness, settled: &[String]) -> Result<(), ClusterProcessError> {
    for head in harness.up() {
        let exports =
            harness.until("a settled read", |harness| harness.admin_client(head).exports(TENANT))?;
        if let Some(missing) = settled.iter().find(|name| !exports.contains(name)) {
            return Err(ClusterProcessError::ChangeMissing { export: missing.clone(), head });
        }
    }
    Ok(())
}
