//! The load and experiment tool: plays scenarios, repeats and sweeps them, and sets results side by side.

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use sedgerun::config::Sources;
use sedgerun::{command, logging};
use sedgerun_config::Faults;
use sedgerun_testbed::capacity::{self, CapacityArguments, Outcome};
use sedgerun_testbed::fleet::{self, InjectedBug};
use sedgerun_testbed::report::{Chart, compare_table, figure, lines, page, spread_table, table};
use sedgerun_testbed::scale::arguments::ScaleArguments;
use sedgerun_testbed::scale::data_path::command::DataPathArgs;
use sedgerun_testbed::scale::{self, data_path, discovery, host, host_process};
use sedgerun_testbed::scenario::Scenario;
use sedgerun_testbed::simulator;
use sedgerun_testbed::{experiment, sockets};
use serde_json::Value;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Rehearses incidents: heads, boxes, a registry and clients in one deterministic world, or on loopback.
#[derive(Parser)]
#[command(name = "sedgerun-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct Which {
    /// The scenario's file
    script: String,
    /// Settings in place of the scenario's, such as load=0.9 or box.pause-ms=63,190
    #[arg(long = "with", value_name = "KEY=VALUE")]
    with: Vec<String>,
    /// The seed; the scenario's own where it is absent
    #[arg(long)]
    seed: Option<u64>,
    /// Write the figures to a file
    #[arg(long)]
    json: Option<String>,
    /// Play on loopback sockets with real heads, in real time, in place of the simulator
    #[arg(long)]
    sockets: bool,
    /// The program of the heads; the heads that this program is built with where it is absent
    #[arg(long)]
    program: Option<PathBuf>,
}

impl Which {
    /// Plays once, in the simulator or on sockets.
    fn play(
        &self,
        scenario: &Scenario,
        seed: u64,
        plant: Option<simulator::InjectedBug>,
    ) -> Result<Value, Faults> {
        if !self.sockets {
            return experiment::simulate(scenario, seed, plant);
        }
        let program = self.program.clone().map_or_else(std::env::current_exe, Ok).map_err(plain)?;
        sockets::play(scenario, seed, &program, &|_| ()).map_err(plain)
    }
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario once; exit status 1 where a rule broke
    Run {
        #[command(flatten)]
        which: Which,
        /// Plant a fault in the heads (tests of the auditor)
        #[arg(long, hide = true)]
        plant: Option<String>,
    },
    /// Play a scenario several times with one seed; exit status 1 where two digests differ
    Repeat {
        #[command(flatten)]
        which: Which,
        /// How many times
        #[arg(long, default_value_t = 10)]
        runs: u64,
    },
    /// Play a scenario with several values of a setting, and several seeds for each
    Sweep {
        #[command(flatten)]
        which: Which,
        /// The setting and its values
        #[arg(long, value_name = "KEY=A,B,C")]
        set: String,
        /// How many seeds, from the first on
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// The figures to show
        #[arg(long, value_delimiter = ',', default_value = "service,worst10,cold_peak,rules broken")]
        figures: Vec<String>,
        /// Draw the first figure as an SVG chart
        #[arg(long)]
        chart: Option<String>,
    },
    /// Set two files of results against each other, with 95% confidence intervals
    Compare {
        /// The results before
        a: String,
        /// The results after
        b: String,
    },
    /// How fast the simulator is: requests a second and the cost of each, at several sizes of the fleet
    Speed {
        #[command(flatten)]
        which: Which,
        /// Sizes, heads by boxes
        #[arg(long, value_delimiter = ',', default_value = "3x9,10x30,30x60,100x60")]
        sizes: Vec<String>,
        /// Runs of each; the best counts
        #[arg(long, default_value_t = 5)]
        runs: u64,
        /// Draw the cost of a request as an SVG chart
        #[arg(long)]
        chart: Option<String>,
    },
    /// A head, three boxes, a registry and load on loopback for some seconds, with a live table
    Demo {
        /// How long, s
        #[arg(long, default_value_t = 12)]
        seconds: u32,
    },
    /// Play the fleet's store in its simulator under faults, seed by seed; exit status 1 where a rule broke
    Store {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// How many seeds
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        /// Heads that keep, and heads in all
        #[arg(long, value_delimiter = ',', num_args = 2, default_values_t = [3, 5])]
        heads: Vec<usize>,
        /// How long faults strike, s of virtual time
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// Seeds that are played side by side
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Plant a fault: lying-disk, old-name, stale-read
        #[arg(long)]
        plant: Option<String>,
    },
    /// Five heads of a fleet on loopback: changes, the leader lost with its disk, nothing lost; under 40 s
    StoreDemo,
    /// What the fleet's store bears and costs, on real processes, as tables
    StoreMeasure {
        /// The program of the heads; this one where it is absent
        #[arg(long)]
        program: Option<PathBuf>,
        /// How long each figure is taken, s
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// Heads in all, for what followers cost
        #[arg(long, value_delimiter = ',', default_value = "10,40")]
        heads: Vec<usize>,
    },
    /// Measure what heads cost at growing sizes: hollow heads beside real ones, on loopback; exit status 1 where
    /// something was not measured
    Scale(ScaleArguments),
    /// Run one head, as `sedgerun serve` does: what heads on sockets are processes of
    #[command(hide = true)]
    Serve {
        /// End at once when standard input ends: no head outlives whoever started it
        #[arg(long)]
        end_with_input: bool,
    },
    /// Run many hollow heads, told what to do on standard input
    #[command(hide = true, name = host_process::SUBCOMMAND)]
    ScaleHost,
    /// Run the stand-in for discovery, told what to do on standard input: a process of scale runs
    #[command(hide = true)]
    ScaleDiscovery,
    /// Run backends that answer at once: a process of data-path
    #[command(hide = true)]
    ScaleBackends {
        /// How many
        #[arg(long)]
        listeners: usize,
    },
    /// What requests through one head cost, by the number of backends, as a table
    DataPath(DataPathArgs),
    Capacity(CapacityArguments),
    /// Write tables and charts of all results in a folder, as its README.md
    Report {
        /// The folder
        folder: String,
    },
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    if let Command::Serve { end_with_input } = command {
        if end_with_input {
            end_with_input_from_now_on();
        }
        let missing = || Faults::one("LB_CONFIG", "LB_CONFIG is missing", None);
        let config = std::env::var("LB_CONFIG").map_err(|_| missing());
        let operator = std::env::var("LB_OPERATOR").ok();
        let sources = config.map(|config| Sources { config, operator });
        return command::serve(sources, "info", logging::LogFormat::Human);
    }
    match run(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(faults) => {
            faults.0.iter().for_each(|fault| eprintln!("{fault}"));
            ExitCode::from(2)
        }
    }
}

/// Ends the process when its standard input does.
fn end_with_input_from_now_on() {
    std::thread::spawn(|| {
        // Whatever ends it, there is nobody left to serve for.
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        std::process::exit(0);
    });
}

fn plain(what: impl ToString) -> Faults {
    Faults::one("", what.to_string(), None)
}

fn load(which: &Which) -> Result<Scenario, Faults> {
    let path = &which.script;
    let text = std::fs::read_to_string(path).map_err(|error| plain(format!("{path}: {error}")))?;
    let mut scenario = Scenario::read(&text).map_err(|faults| faults.under(path))?;
    for setting in &which.with {
        let (key, values) =
            setting.split_once('=').ok_or_else(|| plain(format!("--with {setting}: no value")))?;
        let values: Vec<&str> = values.split(',').collect();
        scenario.set(key, &values).map_err(|what| plain(format!("--with: {what}")))?;
    }
    scenario.seed = which.seed.unwrap_or(scenario.seed);
    Ok(scenario)
}

fn save(path: Option<&str>, results: &Value) -> Result<(), Faults> {
    let Some(path) = path else { return Ok(()) };
    std::fs::write(path, format!("{results:#}\n")).map_err(|error| plain(format!("{path}: {error}")))
}

fn read_results(path: &str) -> Result<Vec<Value>, Faults> {
    let failed = |error: &dyn ToString| plain(format!("{path}: {}", error.to_string()));
    let text = std::fs::read_to_string(path).map_err(|error| failed(&error))?;
    match serde_json::from_str(&text).map_err(|error| failed(&error))? {
        Value::Array(all) => Ok(all),
        one => Ok(vec![one]),
    }
}

/// Shows how far long work has come, where somebody watches.
fn progress(steps: u64, what: &str) -> ProgressBar {
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}");
    let bar = ProgressBar::new(steps).with_message(what.to_owned());
    style.map_or(bar.clone(), |style| bar.with_style(style))
}

fn run(command: Command) -> Result<bool, Faults> {
    match command {
        Command::Run { which, plant } => run_once(&which, plant.as_deref()),
        Command::Repeat { which, runs } => repeat(&which, runs),
        Command::Sweep { which, set, seeds, figures, chart } => {
            sweep(&which, &set, seeds, &figures, chart.as_deref())
        }
        Command::Compare { a, b } => {
            println!("{}", compare_table(&read_results(&a)?, &read_results(&b)?));
            Ok(true)
        }
        Command::Speed { which, sizes, runs, chart } => speed(&which, &sizes, runs, chart.as_deref()),
        Command::Demo { seconds } => demo(seconds),
        Command::StoreDemo => {
            let program = std::env::current_exe().map_err(plain)?;
            fleet::demo::play(&program, |line| println!("{line}")).map_err(plain)?;
            Ok(true)
        }
        Command::StoreMeasure { program, seconds, heads } => {
            let program = program.map_or_else(std::env::current_exe, Ok).map_err(plain)?;
            println!("{}", fleet::measure::rates(&program, seconds).map_err(plain)?);
            for heads in heads {
                println!("{}", fleet::measure::costs(&program, heads, seconds).map_err(plain)?);
            }
            Ok(true)
        }
        Command::Store { from, seeds, heads, seconds, threads, plant } => {
            let bug =
                plant.map(|name| InjectedBug::named(&name).ok_or(plain(format!("--plant {name}: unknown"))));
            let [keepers, all] = heads[..] else { return Err(plain("--heads: two numbers")) };
            let run = fleet::Run {
                seed: from,
                heads: (keepers, all),
                faults_for: Duration::from_secs(seconds),
                bug: bug.transpose()?,
            };
            let all = fleet::play_all(run, seeds, threads.max(1));
            println!("{}", all.table());
            Ok(all.broken.is_empty())
        }
        Command::ScaleDiscovery => {
            discovery::run().map_err(plain)?;
            Ok(true)
        }
        Command::ScaleBackends { listeners } => {
            data_path::run_backends(listeners).map_err(plain)?;
            Ok(true)
        }
        Command::DataPath(args) => data_path::command::run(&args).map_err(plain),
        // Dealt with before all else.
        Command::Serve { .. } => Ok(true),
        Command::Capacity(arguments) => work_out_capacity(&arguments),
        Command::Scale(arguments) => {
            let program = std::env::current_exe().map_err(plain)?;
            scale::command(&arguments, &program).map_err(plain)
        }
        Command::ScaleHost => host::run().map(|()| true).map_err(plain),
        Command::Report { folder } => {
            println!("{}", page(Path::new(&folder)).map_err(plain)?);
            Ok(true)
        }
    }
}

fn work_out_capacity(arguments: &CapacityArguments) -> Result<bool, Faults> {
    match capacity::run(arguments).map_err(plain)? {
        // Not `print!`, which panics where the reader has gone.
        Outcome::Printed(tables) => std::io::stdout().write_all(tables.as_bytes()).map_err(plain)?,
        Outcome::Same | Outcome::Written => (),
        Outcome::Differs(difference) => {
            eprintln!("{difference}");
            return Ok(false);
        }
    }
    Ok(true)
}

fn run_once(which: &Which, plant: Option<&str>) -> Result<bool, Faults> {
    let scenario = load(which)?;
    let plant = plant.map(|name| {
        let found =
            simulator::InjectedBug::ALL.iter().find(|(_, known)| *known == name).map(|(plant, _)| *plant);
        found.ok_or_else(|| plain(format!("--plant {name} is unknown")))
    });
    let result = which.play(&scenario, scenario.seed, plant.transpose()?)?;
    let rows = experiment::headline(&result).into_iter().map(|(name, value)| vec![name, figure(value)]);
    println!("{}", table(&["figure", "value"], rows.collect()));
    let (requests, took) =
        (result["requests"].as_u64().unwrap_or(0), result["took_s"].as_f64().unwrap_or(0.0));
    match result["digest"].as_str() {
        Some(digest) => {
            println!("{requests} requests and {} events in {took:.3} s, digest {digest}", result["events"]);
        }
        None => println!("{requests} requests"),
    }
    for told in result["told"].as_array().into_iter().flatten().filter_map(Value::as_str) {
        println!("- {told}");
    }
    save(which.json.as_deref(), &result)?;
    Ok(result["broken"] == 0)
}

fn repeat(which: &Which, runs: u64) -> Result<bool, Faults> {
    let scenario = load(which)?;
    let bar = progress(runs, &scenario.name);
    let mut results = Vec::new();
    for _ in 0..runs {
        results.push(which.play(&scenario, scenario.seed, None)?);
        bar.inc(1);
    }
    bar.finish_and_clear();
    let mut digests: Vec<&str> = results.iter().filter_map(|result| result["digest"].as_str()).collect();
    digests.dedup();
    println!("{:16} seed {} {runs} runs: {}", scenario.name, scenario.seed, digests.join(" "));
    if digests.len() != 1 {
        println!("{}", spread_table(&results));
    }
    let same = which.sockets || digests.len() == 1;
    save(which.json.as_deref(), &Value::Array(results))?;
    Ok(same)
}

fn sweep(
    which: &Which,
    set: &str,
    seeds: u64,
    figures: &[String],
    chart: Option<&str>,
) -> Result<bool, Faults> {
    let scenario = load(which)?;
    let (key, values) = set.split_once('=').ok_or_else(|| plain(format!("--set {set}: no values")))?;
    let values: Vec<&str> = values.split(',').collect();
    let bar = progress(values.len() as u64 * seeds, key);
    let (mut rows, mut points, mut all) = (Vec::new(), Vec::new(), Vec::new());
    for (i, value) in values.iter().enumerate() {
        let mut changed = scenario.clone();
        changed.set(key, &[value]).map_err(|what| plain(format!("--set: {what}")))?;
        let mut results = Vec::new();
        for seed in scenario.seed..scenario.seed + seeds {
            results.push(which.play(&changed, seed, None)?);
            bar.inc(1);
        }
        let sums = experiment::summaries(&results);
        let shown = figures.iter().map(|name| {
            let Some(sum) = sums.get(name) else { return "unknown".to_owned() };
            format!("{} ({} to {})", figure(sum.mean), figure(sum.least), figure(sum.most))
        });
        rows.push([(*value).to_owned()].into_iter().chain(shown).collect());
        if let Some(sum) = figures.first().and_then(|name| sums.get(name)) {
            points.push((value.parse().unwrap_or(i as f64), *sum));
        }
        all.extend(results);
    }
    bar.finish_and_clear();
    let mut head = vec![key];
    head.extend(figures.iter().map(String::as_str));
    println!("{}", table(&head, rows));
    if let (Some(path), Some(name)) = (chart, figures.first()) {
        let title = format!("{}: {name} by {key}, {seeds} seeds", scenario.name);
        let line = |what: &str, pick: &dyn Fn(&experiment::Summary) -> f64| {
            (what.to_owned(), points.iter().map(|(x, sum)| (*x, pick(sum))).collect())
        };
        let drawn =
            [line("mean", &|sum| sum.mean), line("least", &|sum| sum.least), line("most", &|sum| sum.most)];
        let chart = Chart { title: &title, axes: (key, name), marks: &[], top: 1.0 };
        lines(Path::new(path), &chart, &drawn).map_err(plain)?;
    }
    save(which.json.as_deref(), &Value::Array(all))?;
    Ok(true)
}

fn speed(which: &Which, sizes: &[String], runs: u64, chart: Option<&str>) -> Result<bool, Faults> {
    let scenario = load(which)?;
    let (mut rows, mut points) = (Vec::new(), Vec::new());
    for size in sizes {
        let (heads, boxes) = size.split_once('x').ok_or_else(|| plain(format!("--sizes {size}: no AxB")))?;
        let mut sized = scenario.clone();
        sized.set("heads", &[heads]).map_err(plain)?;
        sized.set("boxes", &[boxes]).map_err(plain)?;
        let (requests, events, cost) = experiment::speed(&sized, runs)?;
        let cells = [size.clone(), requests.to_string(), figure(events as f64 / requests.max(1) as f64)];
        rows.push(cells.into_iter().chain([figure(cost), figure(1e6 / cost)]).collect());
        points.push((sized.heads as f64 * sized.boxes as f64, cost));
    }
    let head = ["heads x boxes", "requests", "events a request", "us a request", "requests a second"];
    println!("{}", table(&head, rows));
    if let Some(path) = chart {
        let title = format!("World on one core: cost of a request, {}", scenario.name);
        let chart = Chart { title: &title, axes: ("heads times boxes", "us"), marks: &[], top: 1.0 };
        lines(Path::new(path), &chart, &[("us a request".to_owned(), points)]).map_err(plain)?;
    }
    Ok(true)
}

/// A small morning on sockets: one box comes up cold, and another drains.
fn demo(seconds: u32) -> Result<bool, Faults> {
    let third = f64::from(seconds.max(3)) / 3.0;
    let text = format!(
        "(scenario demo (seconds {}) (heads 1) (boxes 3) (load 0.5) (clients (ninep 0.2))
           (at {third:.1} (cold (boxes 0))) (between {:.1} {:.1} (drain (boxes 1))))",
        third * 3.0,
        third * 2.0,
        third * 2.5
    );
    let scenario = Scenario::read(&text)?;
    let bar = ProgressBar::new_spinner();
    bar.enable_steady_tick(std::time::Duration::from_millis(200));
    println!("a head, three boxes, a registry and clients on loopback: {text}");
    let program = std::env::current_exe().map_err(plain)?;
    let watch = |live: &str| bar.set_message(live.to_owned());
    let result = sockets::play(&scenario, scenario.seed, &program, &watch).map_err(plain)?;
    bar.finish_and_clear();
    let rows = experiment::headline(&result).into_iter().map(|(name, value)| vec![name, figure(value)]);
    println!("{}", table(&["figure", "value"], rows.collect()));
    Ok(result["broken"] == 0)
}
