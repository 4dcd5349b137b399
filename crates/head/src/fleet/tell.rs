//! `sedgerun fleet ...`: what the command line asks of the heads of a fleet.

use super::link::Links;
use super::own_address;
use super::settings::Settings;
use super::types::{Call, Reply, Status};
use sedgerun_fleet::greeting::Greeting;
use sedgerun_fleet::memory::{Life, Mark, Memory};
use serde_json::{Value, json};
use std::fmt::Write;
use std::time::Duration;

/// Time that one head has for its answer.
const WITHIN: Duration = Duration::from_secs(2);

fn links(settings: &Settings, head: &str) -> Links {
    let own = Greeting {
        fleet: settings.name.clone(),
        secret: settings.secret.clone(),
        head: head.to_owned(),
        store: None,
        life: Life::default(),
        woke: Mark::default(),
        origin: None,
    };
    Links::new(own, settings.keepers.clone(), Memory::default())
}

fn block_on<T>(work: impl Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    Ok(runtime.map_err(|error| format!("no runtime: {error}"))?.block_on(work))
}

/// Begins the fleet at this head with the keepers of its settings.
pub fn begin(settings: &Settings, head: &str) -> Result<String, String> {
    let at = own_address(settings, head);
    let reply = block_on(links(settings, head).call(at, &Call::Begin, WITHIN))?;
    match reply.map_err(|error| format!("{head} at {at}: {error}"))? {
        Reply::Begun => {
            Ok(format!("fleet {} has begun with {} keepers\n", settings.name, settings.keepers.len()))
        }
        Reply::Refused(why) => Err(why),
        _ => Err(format!("{head} at {at}: an answer to something else")),
    }
}

/// How all keepers of the settings stand, as a table or as JSON; an error where none answers.
pub fn status(settings: &Settings, head: &str, as_json: bool) -> Result<String, String> {
    let links = links(settings, head);
    let asked = block_on(async {
        let mut asked: Vec<(String, Result<Status, String>)> = Vec::new();
        for (name, at) in &settings.keepers {
            let said = match links.call(*at, &Call::Status, WITHIN).await {
                Ok(Reply::Status(status)) => Ok(*status),
                Ok(Reply::Refused(why)) => Err(why),
                Ok(_) => Err("an answer to something else".into()),
                Err(error) => Err(error.to_string()),
            };
            asked.push((name.clone(), said));
        }
        asked
    })?;
    if asked.iter().all(|(_, said)| said.is_err()) {
        let all = asked.iter().filter_map(|(name, said)| Some(format!("{name}: {}", said.as_ref().err()?)));
        return Err(format!("no keeper answers: {}", all.collect::<Vec<String>>().join("; ")));
    }
    Ok(if as_json { format!("{}\n", table_json(settings, &asked)) } else { table(settings, &asked) })
}

fn table_json(settings: &Settings, asked: &[(String, Result<Status, String>)]) -> Value {
    let heads: Vec<Value> = asked
        .iter()
        .map(|(name, said)| match said {
            Ok(status) => {
                let mut told = json!(status);
                told["store"] = json!(format!("{:016x}", status.store));
                for (known, keeper) in status.keepers.iter().zip(0..) {
                    told["keepers"][keeper as usize]["store"] = json!(format!("{:016x}", known.store));
                }
                told
            }
            Err(why) => json!({"head": name, "role": "unreachable", "trouble": why}),
        })
        .collect();
    json!({"fleet": settings.name, "heads": heads})
}

fn table(settings: &Settings, asked: &[(String, Result<Status, String>)]) -> String {
    let newest = asked.iter().filter_map(|(_, said)| said.as_ref().ok()).map(|status| status.version).max();
    let newest = newest.unwrap_or(0);
    let mut text = format!("fleet {}\n", settings.name);
    let _ = writeln!(
        text,
        "{:<12} {:<10} {:>5} {:>8} {:>7} {:>8}  {:<16} {:>5} {:>9} {:>9}  leader",
        "head", "role", "term", "version", "behind", "log", "store", "life", "sync mean", "sync most"
    );
    for (name, said) in asked {
        let _ = match said {
            Ok(status) => writeln!(
                text,
                "{name:<12} {:<10} {:>5} {:>8} {:>7} {:>8}  {:016x} {:>5} {:>6} us {:>6} us  {}",
                status.role,
                status.term,
                status.version,
                newest - status.version,
                status.last,
                status.store,
                status.life,
                status.syncs.2,
                status.syncs.1,
                status.trouble.as_deref().or(status.leader.as_deref()).unwrap_or("nobody"),
            ),
            Err(why) => writeln!(text, "{name:<12} unreachable: {why}"),
        };
    }
    text
}
