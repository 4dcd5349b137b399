//! What the replicated store costs and bears, on real processes: changes a second against the bare cost of a sync on
//! the same disk, and what voters and followers take of the machine.

use super::admin_client::AdminClient;
use super::error::ClusterProcessError;
use super::harness::Harness;
use crate::process::ProcessUsage;
use crate::report::table;
use hdrhistogram::Histogram;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const MIB: f64 = 1024.0 * 1024.0;
/// The longest time that a histogram tells apart, us.
const MAX_TIME_US: u64 = 60_000_000;
/// Synced writes that the bare cost is taken from, and the bytes of each.
const BARE_SYNCS: usize = 300;
const BARE_SYNC_BYTES: usize = 4096;
/// Voters of the cluster whose costs are measured.
const VOTERS: usize = 3;
/// Changes a second at which costs are measured.
const CHANGE_RATES: [u64; 2] = [0, 50];
/// Time for a cluster to come to rest before its costs are measured.
const REST_TIME: Duration = Duration::from_secs(2);
/// Exports that the changes are spread over, so that the state stays the same size.
const EXPORTS: u64 = 8;
/// One in so many changes is followed to the last head.
const LAG_SAMPLE_EVERY: u64 = 10;

/// A time at the median and at the 99th percentile, us.
struct TimeSummary {
    median: u64,
    p99: u64,
}

impl TimeSummary {
    fn of(times: &Histogram<u64>) -> TimeSummary {
        TimeSummary { median: times.value_at_quantile(0.5), p99: times.value_at_quantile(0.99) }
    }
}

fn histogram() -> Result<Histogram<u64>, ClusterProcessError> {
    Ok(Histogram::new_with_bounds(1, MAX_TIME_US, 3)?)
}

fn ms(us: u64) -> f64 {
    us as f64 / 1000.0
}

/// The cost of one small synced write on a disk.
fn bare_sync(folder: &Path) -> Result<TimeSummary, ClusterProcessError> {
    let path = folder.join("bare");
    let mut file = std::fs::File::create(&path)?;
    let mut times = histogram()?;
    for _ in 0..BARE_SYNCS {
        let begun = Instant::now();
        file.write_all(&[7; BARE_SYNC_BYTES]).and_then(|()| file.sync_data())?;
        times.saturating_record(begun.elapsed().as_micros() as u64);
    }
    std::fs::remove_file(path)?;
    Ok(TimeSummary::of(&times))
}

/// Changes by so many clients for some seconds: how many a second, and their times.
fn change_rate(
    harness: &Harness,
    clients: usize,
    seconds: u64,
) -> Result<(f64, TimeSummary), ClusterProcessError> {
    let (times, count) = (Mutex::new(histogram()?), AtomicU64::new(0));
    let begun = Instant::now();
    let up = harness.up();
    std::thread::scope(|scope| {
        for client in 0..clients {
            let (times, count) = (&times, &count);
            let mut admin = harness.admin_client(up[client % up.len()]);
            scope.spawn(move || {
                for number in 0.. {
                    let sent = Instant::now();
                    if begun.elapsed() > Duration::from_secs(seconds) {
                        return;
                    }
                    // A few exports for each client, so that the state stays the same size.
                    let export = format!("c{client}x{}", number % 4);
                    let key = format!("{clients}c{client}n{number}");
                    if admin.put(&format!("t{client}"), &export, &key) {
                        let time = sent.elapsed().as_micros() as u64;
                        times.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(time);
                        count.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let rate = count.load(Ordering::Relaxed) as f64 / begun.elapsed().as_secs_f64();
    let times = times.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok((rate, TimeSummary::of(&times)))
}

/// Changes a second at several numbers of clients, with three and five voters, as a table.
pub fn rates(program: &Path, seconds: u64) -> Result<String, ClusterProcessError> {
    let mut rows = Vec::new();
    for voters in [3, 5] {
        let harness = Harness::begin(program, voters, 5)?;
        for clients in [1, 16, 256] {
            let sync = bare_sync(harness.folder())?;
            let (rate, times) = change_rate(&harness, clients, seconds)?;
            rows.push(vec![
                voters.to_string(),
                clients.to_string(),
                format!("{rate:.0}"),
                format!("{:.2}", ms(times.median)),
                format!("{:.2}", ms(times.p99)),
                format!("{:.2} ({:.2})", ms(sync.median), ms(sync.p99)),
                format!("{:.1}", times.median as f64 / sync.median.max(1) as f64),
            ]);
        }
    }
    let head =
        ["keepers", "clients", "changes/s", "median ms", "p99 ms", "bare sync ms (p99)", "median in syncs"];
    Ok(table(&head, rows))
}

/// What each process of a cluster has taken of the machine by now.
fn usages(harness: &Harness) -> Result<Vec<ProcessUsage>, ClusterProcessError> {
    let processes = harness.up().into_iter().filter_map(|head| harness.process(head));
    processes.map(|process| Ok(ProcessUsage::of(process)?)).collect()
}

/// What heads take of the machine, idle and at 50 changes a second, with three voters among so many, as a table.
pub fn costs(program: &Path, heads: usize, seconds: u64) -> Result<String, ClusterProcessError> {
    let harness = Harness::begin(program, VOTERS, heads)?;
    harness.admin_client(0).put("horvat", "press", "press");
    harness.until("all have heard", |harness| all_have_first_change(harness).then_some(()))?;
    let mut rows = Vec::new();
    for rate in CHANGE_RATES {
        std::thread::sleep(REST_TIME);
        let before = usages(&harness)?;
        let lags = apply_load(&harness, rate, Duration::from_secs(seconds))?;
        let costs: Vec<HeadCost> = before
            .iter()
            .zip(&usages(&harness)?)
            .map(|(before, after)| HeadCost::between(before, after))
            .collect();
        let (voters, followers) = costs.split_at(VOTERS);
        rows.push(cost_row(heads, rate, "keepers", voters, None));
        let lags = TimeSummary::of(&lags);
        rows.push(cost_row(heads, rate, "followers", followers, Some(lags).filter(|_| rate > 0)));
    }
    let head = ["heads", "changes/s", "what", "% of a core", "most", "most MB", "lag ms, median (p99)"];
    Ok(table(&head, rows))
}

fn all_have_first_change(harness: &Harness) -> bool {
    harness.up().into_iter().all(|head| {
        let answer = harness.admin_client(head).call("GET /v1/tenants/horvat", "", "");
        answer.is_some_and(|(status, _)| status == 200)
    })
}

/// Makes so many changes a second for a time; the times from a change to its effect at the last head.
fn apply_load(harness: &Harness, rate: u64, time: Duration) -> Result<Histogram<u64>, ClusterProcessError> {
    let begun = Instant::now();
    let mut lags = histogram()?;
    let (mut writer, mut reader) = (harness.admin_client(0), harness.admin_client(harness.count() - 1));
    let mut number = 0;
    while begun.elapsed() < time {
        if rate == 0 {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        }
        number += 1;
        let at = Duration::from_micros(1_000_000 / rate * number);
        std::thread::sleep(at.saturating_sub(begun.elapsed()));
        writer.put("lag", &format!("x{}", number % EXPORTS), &format!("lag{number}"));
        if number.is_multiple_of(LAG_SAMPLE_EVERY)
            && let Some(lag) = follow_change(&mut writer, &mut reader)
        {
            lags.saturating_record(lag.as_micros() as u64);
        }
    }
    Ok(lags)
}

/// The time until the reader's head works with the newest version; none where it does not say.
fn follow_change(writer: &mut AdminClient, reader: &mut AdminClient) -> Option<Duration> {
    let sent = Instant::now();
    let latest = writer.call("GET /v1/tenants/lag", "Fleet-Read: latest\r\n", "");
    let version = latest.and_then(|(_, body)| body["version"].as_u64()).unwrap_or(0);
    let headers = format!("Fleet-At-Least: {version}\r\n");
    let (status, _) = reader.call("GET /v1/tenants/lag", &headers, "")?;
    (status == 200).then(|| sent.elapsed())
}

/// What one head took of the machine.
struct HeadCost {
    cpu_percent: f64,
    memory_bytes: u64,
}

impl HeadCost {
    fn between(before: &ProcessUsage, after: &ProcessUsage) -> HeadCost {
        HeadCost { cpu_percent: after.cpu_percent_since(before), memory_bytes: after.memory_bytes }
    }
}

fn cost_row(
    heads: usize,
    rate: u64,
    role: &str,
    costs: &[HeadCost],
    lag: Option<TimeSummary>,
) -> Vec<String> {
    let mean = costs.iter().map(|cost| cost.cpu_percent).sum::<f64>() / costs.len().max(1) as f64;
    let most = costs.iter().map(|cost| cost.cpu_percent).fold(0.0, f64::max);
    let memory = costs.iter().map(|cost| cost.memory_bytes).max().unwrap_or(0);
    vec![
        heads.to_string(),
        rate.to_string(),
        role.to_owned(),
        format!("{mean:.2}"),
        format!("{most:.2}"),
        format!("{:.1}", memory as f64 / MIB),
        lag.map_or_else(String::new, |lag| format!("{:.1} ({:.1})", ms(lag.median), ms(lag.p99))),
    ]
}
