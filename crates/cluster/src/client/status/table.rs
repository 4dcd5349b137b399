//! The status of a cluster as a text table.

use super::{ClusterReport, HeadReport};
use crate::types::HeadStatus;
use sedgerun_replication::follow::Downstream;
use sedgerun_replication::relay::RelayStatus;
use std::fmt::{self, Write};

/// Renders the status of the cluster `fleet` as a table.
pub(super) fn render(fleet: &str, report: &ClusterReport) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_table(&mut text, fleet, report);
    text
}

fn write_table(text: &mut String, fleet: &str, report: &ClusterReport) -> fmt::Result {
    let newest_version = report.reports().map(|report| report.status.version).max().unwrap_or(0);
    writeln!(text, "fleet {fleet}")?;
    writeln!(
        text,
        "{:<12} {:<10} {:>5} {:>8} {:>7} {:>8}  {:<16} {:>5} {:>9} {:>9}  leader",
        "head", "role", "term", "version", "behind", "log", "store", "life", "sync mean", "sync most"
    )?;
    for (name, result) in &report.0 {
        match result {
            Ok(HeadReport { status, .. }) => write_head(text, name, status, newest_version)?,
            Err(error) => writeln!(text, "{name:<12} unreachable: {error}")?,
        }
    }
    for follower in report.followers() {
        write_follower(text, &follower, newest_version)?;
    }
    let unnamed = report.unnamed_followers();
    if unnamed > 0 {
        writeln!(text, "and {unnamed} more that follow, not named here")?;
    }
    for RelayStatus { relay, followers } in report.relays() {
        let region = relay.region.as_deref().unwrap_or("-");
        writeln!(text, "relay {:<12} region {region:<10} {followers:>5} followers", relay.peer.head)?;
    }
    Ok(())
}

fn write_head(text: &mut String, name: &str, status: &HeadStatus, newest_version: u64) -> fmt::Result {
    let (_, longest_sync_us, mean_sync_us) = status.syncs;
    writeln!(
        text,
        "{name:<12} {:<10} {:>5} {:>8} {:>7} {:>8}  {:016x} {:>5} {mean_sync_us:>6} us {longest_sync_us:>6} us  {}",
        status.role,
        status.term,
        status.version,
        newest_version.saturating_sub(status.version),
        status.last_index,
        status.store,
        status.incarnation,
        status.fault.as_deref().or(status.leader.as_deref()).unwrap_or("nobody"),
    )
}

fn write_follower(text: &mut String, follower: &Downstream, newest_version: u64) -> fmt::Result {
    writeln!(
        text,
        "{:<12} {:<10} {:>5} {:>8} {:>7} {:>8}  {:016x} {:>5}",
        follower.peer.head,
        "follower",
        "",
        follower.version,
        newest_version.saturating_sub(follower.version),
        "",
        follower.store,
        follower.incarnation,
    )
}
