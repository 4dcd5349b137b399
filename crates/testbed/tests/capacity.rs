//! The capacity page: the committed one is what the committed results give, the models find what they were made from,
//! and bad input ends with one line, exit status 2 and nothing overwritten.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sedgerun_replication::relay::RELAY_CAPACITY;
use sedgerun_testbed::capacity::documents::parse;
use sedgerun_testbed::capacity::regression::{NoFit, Regressor, Sample, Size, fit};
use sedgerun_testbed::capacity::tables::Section;
use sedgerun_testbed::capacity::target::Target;
use sedgerun_testbed::scale::results::{
    Cost, DataPath, FORMAT, Fault, Latency, Machine, Point, Role, ScaleResults, Spread, Start,
};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
const TARGET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/targets/two-years.sexp");

/// A directory of one test, removed at its end.
struct Scratch(PathBuf);

impl Scratch {
    fn new() -> Scratch {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("capacity-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(path.join("results/before")).expect("a directory");
        std::fs::create_dir_all(path.join("results/after")).expect("a directory");
        Scratch(path)
    }

    fn put(&self, file: &str, text: &str) -> PathBuf {
        let path = self.0.join(file);
        std::fs::write(&path, text).expect("a file written");
        path
    }

    fn put_results(&self, file: &str, results: &ScaleResults) -> PathBuf {
        self.put(&format!("results/{file}"), &serde_json::to_string_pretty(results).expect("JSON"))
    }

    fn capacity(&self, arguments: &[&str]) -> Output {
        let results = self.0.join("results");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sedgerun-testbed"));
        command.arg("capacity").arg("--results").arg(results);
        if !arguments.contains(&"--target") {
            command.args(["--target", TARGET]);
        }
        command.args(arguments).output().expect("the program runs")
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn spread(mean: f64, most: f64) -> Spread {
    Spread { mean, most }
}

/// A head's cost that grows with all it may grow with; `scale` multiplies its traffic.
fn cost(count: u64, heads: u64, backends: u64, changes: f64, scale: f64) -> Cost {
    let traffic = scale * (100.0 + 2.0 * heads as f64 + 1000.0 * changes);
    Cost {
        count,
        bytes_in: spread(traffic, 2.0 * traffic),
        bytes_out: spread(traffic / 2.0, traffic),
        messages_in: spread(1.0, 2.0),
        messages_out: spread(1.0, 2.0),
        cpu_percent: spread(0.1 + 0.0001 * heads as f64, 0.2 + 0.0002 * heads as f64),
        memory_bytes: spread(1e7 + 100.0 * backends as f64, 1.1e7 + 100.0 * backends as f64),
        descriptors: spread(20.0, 25.0),
    }
}

fn point(heads: u64, backends: u64, changes: f64, scale: f64) -> Point {
    let latency = Latency { count: 10, median_ms: 20.0, p99_ms: 60.0, most_ms: 80.0 };
    let roles = [(Role::Voter, 3), (Role::WholeHead, 8), (Role::HollowHead, heads - 11)];
    Point {
        heads,
        backends,
        changes_per_second: changes,
        seconds: 5.0,
        roles: roles.map(|(role, count)| (role, cost(count, heads, backends, changes, scale))).into(),
        in_force: (changes > 0.0).then_some(latency),
        depth: spread(2.0, 3.0),
        reached: heads,
    }
}

fn results(sizes: &[u64], scale: f64) -> ScaleResults {
    let mut points: Vec<Point> = sizes.iter().map(|heads| point(*heads, 1000, 0.0, scale)).collect();
    points.extend([0.1, 10.0].map(|changes| point(800, 1000, changes, scale)));
    points.extend([100, 7400].map(|backends| point(800, backends, 0.0, scale)));
    ScaleResults {
        format: FORMAT,
        machine: Machine { cores: 8, memory_bytes: 16_000_000_000, kernel: "6.1".into() },
        commit: "0123abc".into(),
        seed: 7,
        complete: false,
        not_run: vec!["a region | cut".into()],
        points,
        starts: vec![Start {
            heads: 800,
            backends: 7400,
            started: 100,
            ready: Latency { count: 100, median_ms: 900.0, p99_ms: 1200.0, most_ms: 1300.0 },
            bytes_in: spread(1_200_000.0, 1_300_000.0),
        }],
        faults: vec![Fault {
            name: "leader_killed".into(),
            heads: 800,
            backends: 1000,
            struck: 1,
            settled_again_ms: Some(26_000.0),
            in_force_ms: Some(700.0),
            peak_bytes: Some(4000.0),
            head_peak_bytes: Some(3000.0),
            oldest_ms: None,
            passed: false,
            failures: vec!["settled too late".into()],
        }],
        data_path: vec![DataPath {
            backends: 7400,
            clients: 8,
            requests: 1000,
            cpu_us: 100.0,
            connects_per_second: 50.0,
            requests_per_second: 500.0,
            latency: Latency { count: 1000, median_ms: 1.0, p99_ms: 2.0, most_ms: 3.0 },
        }],
    }
}

const SIZES: [u64; 4] = [50, 200, 800, 3200];

fn empty_page() -> String {
    let sections = Section::all().map(|section| format!("<!-- capacity: {section} -->\n<!-- end -->\n"));
    format!("# Capacity\n\nProse.\n\n{}\nMore prose.\n", sections.collect::<Vec<_>>().join("\n"))
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8")
}

/// The cells of the first row of a table that begins with these cells.
fn row<'a>(tables: &'a str, section: &str, cells: &[&str]) -> Vec<&'a str> {
    let start = tables.find(&format!("## {section}\n")).unwrap_or_else(|| panic!("no section {section}"));
    let section = tables[start..].split("\n## ").next().expect("a section");
    let split = |line: &'a str| line.trim_matches('|').split('|').map(str::trim).collect::<Vec<_>>();
    let mut rows = section.lines().map(split);
    rows.find(|found| found.starts_with(cells)).unwrap_or_else(|| panic!("no row {cells:?} in\n{section}"))
}

fn assert_one_line(output: &Output, status: i32, parts: &[&str]) {
    let said = text(&output.stderr);
    assert_eq!(output.status.code(), Some(status), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
    for part in parts {
        assert!(said.contains(part), "{part:?} is not in {said}");
    }
}

#[test]
fn the_committed_page_holds_what_the_committed_results_give() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sedgerun-testbed"));
    let output = command.current_dir(ROOT).args(["capacity", "--check", "docs/CAPACITY.md"]).output();
    let output = output.expect("the program runs");
    assert!(output.status.success(), "{}", text(&output.stderr));
}

fn sample(heads: f64, backends: f64, changes: f64, value: f64) -> Sample {
    Sample { size: Size { heads, backends, changes, process_share: 0.0 }, value }
}

/// Several sizes of everything, with the figure of a model.
fn grid(value: impl Fn(f64, f64, f64) -> f64) -> Vec<Sample> {
    let mut samples = Vec::new();
    for heads in [50.0, 200.0, 800.0, 3200.0] {
        for backends in [100.0, 1000.0, 7400.0] {
            for changes in [0.0, 0.1, 10.0] {
                samples.push(sample(heads, backends, changes, value(heads, backends, changes)));
            }
        }
    }
    samples
}

#[test]
fn a_model_without_noise_is_found_exactly() {
    let model = |heads, backends, changes| {
        30.0 + 0.5 * heads + 7.0 * changes + 0.25 * heads * changes + 0.01 * backends
    };
    let fit = fit(&grid(model)).expect("a fit");
    let expected = [
        (Regressor::Constant, 30.0),
        (Regressor::Heads, 0.5),
        (Regressor::Changes, 7.0),
        (Regressor::HeadsTimesChanges, 0.25),
        (Regressor::Backends, 0.01),
    ];
    for (regressor, wanted) in expected {
        let found = fit.coefficient(regressor).expect("in the model");
        assert!((found / wanted - 1.0).abs() < 1e-6, "{regressor:?}: {found}, not {wanted}");
    }
    assert!(fit.largest_relative < 1e-9 && fit.root_mean_square < 1e-6, "{fit:?}");
    assert_eq!((fit.sizes, fit.samples), (4, 36));
    let target = Size { heads: 6200.0, backends: 7400.0, changes: 0.09375, process_share: 0.0 };
    let wanted = model(target.heads, target.backends, target.changes);
    assert!((fit.at(&target) / wanted - 1.0).abs() < 1e-6);
}

#[test]
fn with_noise_the_squares_of_the_relative_residuals_are_least() {
    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut noisy = grid(|heads, _, changes| 500.0 + 0.02 * heads + 900.0 * changes);
        noisy.iter_mut().for_each(|sample| sample.value *= random.random_range(0.9..1.1));
        let fit = fit(&noisy).expect("a fit");
        let squares = |terms: &[(Regressor, f64)]| -> f64 {
            let at = |size: &Size| terms.iter().map(|(term, slope)| slope * term.at(size)).sum::<f64>();
            noisy.iter().map(|sample| (at(&sample.size) / sample.value - 1.0).powi(2)).sum()
        };
        let least = squares(&fit.terms);
        for term in 0..fit.terms.len() {
            for factor in [0.99, 1.01] {
                let mut other = fit.terms.clone();
                other[term].1 *= factor;
                assert!(squares(&other) > least, "seed {seed}: {other:?} fits better than {fit:?}");
            }
        }
        // Noise at a hundred times the load must not drown the idle figure.
        let idle = fit.at(&Size { heads: 800.0, backends: 1000.0, changes: 0.0, process_share: 0.0 });
        assert!((idle / 516.0 - 1.0).abs() < 0.1, "seed {seed}: {idle}");
        assert!(fit.largest_relative < 0.25 && fit.largest_relative > 0.01, "{fit:?}");
    }
}

#[test]
fn what_was_not_varied_is_not_in_the_model() {
    let samples: Vec<Sample> =
        SIZES.iter().map(|heads| sample(*heads as f64, 1000.0, 0.1, 5.0 + 0.1 * *heads as f64)).collect();
    let fit = fit(&samples).expect("a fit");
    let regressors: Vec<Regressor> = fit.terms.iter().map(|(regressor, _)| *regressor).collect();
    assert_eq!(regressors, [Regressor::Constant, Regressor::Heads]);
}

#[test]
fn fewer_than_four_sizes_give_no_figure() {
    let samples: Vec<Sample> = [50.0, 200.0, 800.0, 800.0].map(|heads| sample(heads, 1e3, 0.0, 1.0)).into();
    assert_eq!(fit(&samples), Err(NoFit::TooFewSizes(3)));
    assert_eq!(fit(&[]), Err(NoFit::NotMeasured));
    let scratch = Scratch::new();
    scratch.put_results("after/a.json", &results(&[50, 200, 800], 1.0));
    let tables = text(&scratch.capacity(&[]).stdout);
    assert_eq!(row(&tables, "roles after", &["head, hollow"])[2], "no figure: 3 sizes of 4");
    let budget = row(&tables, "budgets after", &["head, hollow", "bytes/s in and out"]);
    assert_eq!(budget[3], "no figure: 3 sizes of 4");
    assert_eq!(budget[5..7], ["-", ""]);
}

#[test]
fn rows_stand_beside_their_budgets_and_are_marked_over_them() {
    let scratch = Scratch::new();
    scratch.put_results("after/a.json", &results(&SIZES, 1.0));
    let output = scratch.capacity(&[]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let tables = text(&output.stdout);
    // Bytes: 1.5 and 3 times 100 + 2 * 6200 + 1000 * 8100 / 86400.
    let bytes = row(&tables, "budgets after", &["head, hollow", "bytes/s in and out"]);
    assert_eq!(bytes[2..8], ["18,891", "37,781", "8,000", "4.72", "**over**", "3,200, extrapolated x 1.94"]);
    let processor = row(&tables, "budgets after", &["head, hollow", "% of a core"]);
    assert_eq!(processor[2..7], ["0.720", "1.44", "1.10", "1.31", "**over**"]);
    let memory = row(&tables, "budgets after", &["head, hollow", "memory, bytes"]);
    assert_eq!(memory[2..7], ["10,740,000", "11,740,000", "256,000,000", "0.0459", ""]);
    assert_eq!(row(&tables, "budgets after", &["voter", "% of a core"])[4], "100 (assumed)");
    assert_eq!(row(&tables, "roles after", &["voter"])[1], "3");
    assert_eq!(row(&tables, "roles after", &["relay"])[2], "not run");
    assert_eq!(row(&tables, "roles after", &["head, whole"])[1], "6,185");
    // 300 bytes are constant, and the rest grows with the size: (8000 - 300) / (37781.25 - 300).
    let first = row(&tables, "limits after", &["head, whole", "bytes/s in and out"]);
    assert_eq!(first[3..5], ["0.205", "1,273"]);
    let leader = row(&tables, "promises", &["after", "leader_killed: next change settled, ms"]);
    assert_eq!(leader[2..], ["800 of 6,200", "26,000", "13,000", "2", "**over**"]);
    assert_eq!(row(&tables, "runs", &["after/a.json"])[6..], ["**partial**", "a region / cut"]);
    assert_eq!(row(&tables, "data-path", &["after"])[10], "15.6");
    assert_eq!(row(&tables, "zone-lost", &["heads lost"])[1], "775");
    assert_eq!(row(&tables, "zone-lost", &["backends lost"])[1], "925");
    let returned = row(&tables, "zone-lost", &["read by all heads of the zone when they are back"]);
    assert_eq!(returned[1..], ["930", "MB", "after, start of 100 heads"]);
    assert_eq!(row(&tables, "ordinary-day", &["changes of configuration"])[1], "10.7");
    assert!(tables.contains("no results of the set `before`"), "{tables}");
}

#[test]
fn the_fixed_cost_of_shared_processes_is_not_taken_for_that_of_a_hollow_head() {
    let mut document = results(&SIZES, 1.0);
    for point in &mut document.points {
        let hollow = point.roles.get_mut(&Role::HollowHead).expect("hollow heads");
        // Processes of 80 MB in all, and 50 kB for each head.
        let share = 50_000.0 + 80e6 / hollow.count as f64;
        hollow.memory_bytes = spread(share, share);
    }
    let scratch = Scratch::new();
    scratch.put_results("after/a.json", &document);
    let tables = text(&scratch.capacity(&[]).stdout);
    let memory = row(&tables, "budgets after", &["head, hollow", "memory, bytes"]);
    assert_eq!(memory[2..5], ["50,000", "50,000", "256,000,000"]);
    let model = row(&tables, "fits after", &["head, hollow", "memory, bytes", "mean"]);
    assert_eq!(model[8], "80,000,000");
}

#[test]
fn a_model_that_falls_below_zero_gives_no_figure() {
    let mut document = results(&SIZES, 1.0);
    for point in &mut document.points {
        let voter = point.roles.get_mut(&Role::Voter).expect("voters");
        let falling = 7000.0 - 2.0 * point.heads as f64;
        (voter.bytes_in, voter.bytes_out) = (spread(falling, falling), spread(0.0, 0.0));
    }
    let scratch = Scratch::new();
    scratch.put_results("after/a.json", &document);
    let tables = text(&scratch.capacity(&[]).stdout);
    assert_eq!(row(&tables, "roles after", &["voter"])[4], "no figure: below 0");
    let budget = row(&tables, "budgets after", &["voter", "bytes/s in and out"]);
    assert_eq!(budget[2..7], ["no figure: below 0", "no figure: below 0", "125,000,000 (assumed)", "-", ""]);
}

#[test]
fn before_and_after_are_set_side_by_side() {
    let scratch = Scratch::new();
    scratch.put_results("before/a.json", &results(&SIZES, 1.0));
    scratch.put_results("after/a.json", &results(&SIZES, 0.1));
    let tables = text(&scratch.capacity(&[]).stdout);
    let bytes = row(&tables, "before-after", &["head, hollow", "bytes/s in and out"]);
    assert_eq!(bytes[2..], ["37,781", "3,778", "0.100", "8,000", "4.72", "0.472", ""]);
    let other_way = Scratch::new();
    other_way.put_results("before/a.json", &results(&SIZES, 0.1));
    other_way.put_results("after/a.json", &results(&SIZES, 1.0));
    let tables = text(&other_way.capacity(&[]).stdout);
    let bytes = row(&tables, "before-after", &["head, hollow", "bytes/s in and out"]);
    assert_eq!(bytes[8], "**over**, worse by over 10%");
}

#[test]
fn a_written_page_passes_the_check_and_a_changed_one_does_not() {
    let scratch = Scratch::new();
    let document = scratch.put_results("after/a.json", &results(&SIZES, 1.0));
    let page = scratch.put("page.md", &empty_page());
    let path = page.to_str().expect("UTF-8");
    assert_one_line(
        &scratch.capacity(&["--check", path]),
        1,
        &["page.md: line 6: expected \"\"", "found \"<!-- end -->\""],
    );
    let written = scratch.capacity(&["--write", path]);
    assert!(written.status.success(), "{}", text(&written.stderr));
    assert!(scratch.capacity(&["--check", path]).status.success());
    let whole = std::fs::read_to_string(&page).expect("the page");
    assert!(whole.starts_with("# Capacity\n\nProse.\n\n") && whole.ends_with("\nMore prose.\n"));
    let names: Vec<_> = std::fs::read_dir(&scratch.0).expect("a directory").flatten().collect();
    assert_eq!(names.len(), 2, "a temporary file is left: {names:?}");
    // Written again it is the same.
    assert!(scratch.capacity(&["--write", path]).status.success());
    assert_eq!(std::fs::read_to_string(&page).expect("the page"), whole);
    // One digit by hand.
    scratch.put("page.md", &whole.replacen("37,781", "37,780", 1));
    let line = whole.lines().position(|line| line.contains("37,781")).expect("the line") + 1;
    let place = format!("line {line}: ");
    assert_one_line(&scratch.capacity(&["--check", path]), 1, &[&place, "37,781", "37,780"]);
    // Other results.
    scratch.put("page.md", &whole);
    std::fs::remove_file(document).expect("removed");
    assert_one_line(&scratch.capacity(&["--check", path]), 1, &["page.md: line", "expected", "found"]);
}

#[test]
fn markers_that_cannot_be_used_are_named_with_their_line_and_nothing_is_overwritten() {
    let scratch = Scratch::new();
    scratch.put_results("after/a.json", &results(&SIZES, 1.0));
    let whole = empty_page();
    let cases = [
        (whole.replacen("<!-- end -->\n", "", 1), "line 7: the section opened in line 5 is not closed"),
        (
            whole.replacen("<!-- capacity: roles before -->\n", "", 1),
            "line 5: \"<!-- end -->\" closes nothing",
        ),
        (whole.replacen("roles before", "rolls before", 1), "line 5: section rolls before is unknown"),
        (whole.replacen("roles before -->", "roles before", 1), "line 5: the marker does not end"),
        (whole.replacen("roles before", "roles after", 1), "\"<!-- capacity: roles before -->\" is missing"),
        ("no marker\n".to_owned(), "is missing"),
        (format!("{whole}<!-- capacity: runs -->\n"), "the section is not closed"),
    ];
    for (page, reason) in cases {
        let path = scratch.put("page.md", &page);
        for action in ["--check", "--write"] {
            let output = scratch.capacity(&[action, path.to_str().expect("UTF-8")]);
            assert_one_line(&output, 2, &["page.md: ", reason]);
            assert_eq!(std::fs::read_to_string(&path).expect("the page"), page);
        }
    }
    assert_one_line(&scratch.capacity(&["--write", "/nowhere/page.md"]), 2, &["/nowhere/page.md: "]);
}

#[test]
fn documents_that_are_corrupt_foreign_or_absurd_are_refused_with_the_place() {
    let good = serde_json::to_value(results(&SIZES, 1.0)).expect("JSON");
    let with = |pointer: &str, value: serde_json::Value| {
        let mut changed = good.clone();
        *changed.pointer_mut(pointer).expect("the key") = value;
        changed.to_string()
    };
    let mut unknown = good.clone();
    unknown["points"][0]["roles"]["voter"]["colour"] = "red".into();
    let whole = good.to_string();
    let cases = [
        (with("/format", 2.into()), "format 2, expected 1"),
        (with("/format", "one".into()), "line 1"),
        ("{\"heads\": 3}".to_owned(), "missing field `format`"),
        ("[1, 2]".to_owned(), "line 1 column"),
        (unknown.to_string(), "unknown field `colour`"),
        (whole.replacen("\"seed\":7", "\"seed\":NaN", 1), "line 1 column"),
        (whole.replacen("\"seconds\":5.0", "\"seconds\":1e999", 1), "number out of range"),
        (whole[..whole.len() / 2].to_owned(), "EOF while parsing"),
        ("not JSON at all".to_owned(), "line 1 column"),
        (String::new(), "EOF while parsing"),
        (with("/points/2/heads", 10_000_000_000_u64.into()), "points[2].heads is out of range"),
        (with("/points/2/heads", 0.into()), "points[2].heads is out of range"),
        (with("/points/2/heads", (-3).into()), "line 1 column"),
        (with("/points/1/backends", 0.into()), "points[1].backends is out of range"),
        (with("/points/1/reached", 999.into()), "points[1].reached is more than there are heads"),
        (
            with("/points/0/roles/voter/cpu_percent/most", (-0.5).into()),
            "points[0].roles.Voter.cpu_percent.most",
        ),
        (with("/points/0/roles/voter/bytes_in/mean", 1e12.into()), "bytes_in.mean is over its most"),
        (with("/points/0/roles/voter/bytes_in/mean", serde_json::Value::Null), "line 1 column"),
        (with("/starts/0/started", 801.into()), "starts[0].started is more than there are heads"),
        (with("/faults/0/peak_bytes", 1e300.into()), "faults[0].peak_bytes is out of range"),
        (
            with("/faults/0/head_peak_bytes", 5000.0.into()),
            "faults[0].head_peak_bytes is over its peak_bytes",
        ),
        (with("/data_path/0/latency/p99_ms", 0.1.into()), "data_path[0].latency: median"),
        (with("/data_path/0/clients", 0.into()), "data_path[0].clients is out of range"),
    ];
    let scratch = Scratch::new();
    let page = scratch.put("page.md", &empty_page());
    for (document, reason) in cases {
        scratch.put("results/after/a.json", &document);
        let output = scratch.capacity(&["--write", page.to_str().expect("UTF-8")]);
        assert_one_line(&output, 2, &["after/a.json: ", reason]);
        assert_eq!(std::fs::read_to_string(&page).expect("the page"), empty_page());
    }
    scratch.put("results/after/a.json", &"[".repeat(17 << 20));
    assert_one_line(&scratch.capacity(&[]), 2, &["after/a.json: over"]);
    assert!(parse(&whole).is_ok(), "the unchanged document is good");
}

#[test]
fn results_that_are_not_there_are_an_error() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sedgerun-testbed"));
    let output = command.args(["capacity", "--results", "/nowhere", "--target", TARGET]).output();
    assert_one_line(&output.expect("the program runs"), 2, &["/nowhere: "]);
}

fn shipped_target() -> String {
    std::fs::read_to_string(TARGET).expect("the target")
}

#[test]
fn the_shipped_target_is_the_size_in_two_years() {
    let target = Target::read(&shipped_target()).expect("a target");
    assert_eq!(target.name, "two-years");
    assert_eq!((target.heads, target.backends, target.regions, target.zones), (6200.0, 7400.0, 3.0, 8.0));
    assert_eq!((target.client_connections, target.requests_per_second), (17e6, 9.7e6));
    assert_eq!((target.configuration.per_day, target.configuration.within_s), (8100.0, 7.0));
    assert_eq!((target.primary.per_day, target.primary.within_s), (15.0, 13.0));
    assert_eq!((target.machine_failures_per_day, target.restarts_per_day), (42.0, 4700.0));
    assert_eq!((target.head_budget.cpu_percent, target.head_budget.memory_bytes), (1.1, 256e6));
    assert_eq!((target.head_budget.bytes_per_second, target.machines), (8000.0, 12.0));
    // A relay on each machine and a voter beside it on three; the relays of a region that stay when one is lost carry all
    // heads of it.
    assert_eq!((target.voters, target.relays), (3.0, 12.0));
    assert!(target.voters <= target.machines && target.relays <= target.machines);
    let staying = target.relays / target.regions - 1.0;
    assert!(staying * RELAY_CAPACITY as f64 >= target.heads / target.regions);
}

/// Without a key's form: `(key ...)` with its value.
fn without(text: &str, key: &str) -> String {
    let start = text.find(&format!("({key} ")).unwrap_or_else(|| panic!("no {key}"));
    let mut depth = 0;
    let end = text[start..].char_indices().find(|(_, c)| {
        depth += i32::from(*c == '(') - i32::from(*c == ')');
        depth == 0
    });
    let (end, _) = end.expect("it closes");
    format!("{}{}", &text[..start], &text[start + end + 1..])
}

#[test]
fn a_target_without_one_of_its_keys_is_refused_with_file_line_and_column() {
    let scratch = Scratch::new();
    scratch.put_results("after/a.json", &results(&SIZES, 1.0));
    let keys = [
        "heads",
        "backends",
        "client-connections",
        "requests-per-second",
        "regions",
        "zones",
        "configuration",
        "primary",
        "ordinary-day",
        "head-budget",
        "set-aside",
        "in-force-s",
        "settled-s",
        "changes-per-day",
        "machine-failures",
        "restarts",
        "cpu-percent",
        "memory-bytes",
        "bytes-per-second",
        "machines",
        "voters",
        "relays",
    ];
    for key in keys {
        let path = scratch.put("target.sexp", &without(&shipped_target(), key));
        let output = scratch.capacity(&["--target", path.to_str().expect("UTF-8")]);
        let named = format!("{key} is missing");
        assert_one_line(&output, 2, &["target.sexp: ", &named, "(line ", ", column "]);
    }
}

#[test]
fn a_target_with_a_fault_is_refused_with_file_line_and_column() {
    let scratch = Scratch::new();
    scratch.put_results("after/a.json", &results(&SIZES, 1.0));
    let shipped = shipped_target();
    let heads = shipped.lines().position(|line| line.contains("(heads 6200)")).expect("heads") + 1;
    let at_heads = format!("(line {heads}, column 3)");
    let in_heads = format!("(line {heads}, column 10)");
    let changed = |to: &str| shipped.replacen("(heads 6200)", to, 1);
    let cases = [
        (changed("(haeds 6200)"), "key haeds is unknown", at_heads.as_str()),
        (changed("(heads 6200) (heads 1)"), "key heads is there twice", "column 16"),
        (changed("(heads -5)"), "key heads is out of range", &in_heads),
        (changed("(heads 1000000000)"), "key heads is out of range", &in_heads),
        (changed("(heads 1e9999)"), "malformed S-expression", "line"),
        (changed("(heads +nan.0)"), "key heads is", &in_heads),
        (changed("(heads many)"), "key heads is not a number: many", &in_heads),
        (changed("(heads 6200.5)"), "key heads is not a whole number", "line"),
        (changed("(heads 1 2)"), "key heads takes one number, not 2", &at_heads),
        (changed("(heads)"), "key heads takes one number, not 0", &at_heads),
        (changed("(heads (of 3))"), "key heads takes one number, not a form", &in_heads),
        (changed("(heads 2)"), "key set-aside has more voters and relays", "line"),
        (changed("6200"), "capacity has a value too many: 6200", "column 3"),
        (
            shipped.replacen("(settled-s 13)", "(settles-s 13)", 1),
            "key primary.settles-s is unknown",
            "column",
        ),
        (shipped.replacen("(capacity", "(scenario", 1), "a target is one form", "line"),
        (shipped.trim_end().trim_end_matches(')').to_owned(), "malformed S-expression", "line"),
        (format!("{shipped}(more 1)"), "a target is one form", "column 1"),
        (String::new(), "a target is one form", "(line 1, column 1)"),
    ];
    for (target, reason, place) in cases {
        let path = scratch.put("target.sexp", &target);
        let output = scratch.capacity(&["--target", path.to_str().expect("UTF-8")]);
        assert_one_line(&output, 2, &["target.sexp: ", reason, place]);
    }
    scratch.put("target.sexp", &"(a ".repeat(100_000));
    let path = scratch.0.join("target.sexp");
    assert_one_line(&scratch.capacity(&["--target", path.to_str().expect("UTF-8")]), 2, &["target.sexp: "]);
    assert_one_line(&scratch.capacity(&["--target", "/nowhere"]), 2, &["/nowhere: "]);
}

#[test]
fn results_may_be_named_as_files() {
    let scratch = Scratch::new();
    let path = scratch.put_results("before/a.json", &results(&SIZES, 1.0));
    let mut command = Command::new(env!("CARGO_BIN_EXE_sedgerun-testbed"));
    let output = command.arg("capacity").arg("--results").arg(&path).args(["--target", TARGET]).output();
    let tables = text(&output.expect("the program runs").stdout);
    assert_eq!(row(&tables, "runs", &["before/a.json"])[1], "0123abc");
    assert!(Path::new(&path).exists());
}

#[test]
fn relays_are_counted_by_the_heads_that_fall_to_each() {
    // 4 relays in the runs and 12 at the target: 6,200 heads are 516.7 for each.
    let mut document = results(&SIZES, 1.0);
    for point in &mut document.points {
        let carried = point.heads as f64 / 4.0;
        let sent = 50.0 * carried;
        let relay = Cost {
            count: 4,
            bytes_out: spread(sent, sent),
            bytes_in: spread(0.0, 0.0),
            ..cost(4, 1, 1, 0.0, 1.0)
        };
        point.roles = BTreeMap::from([(Role::Relay, relay)]);
    }
    let scratch = Scratch::new();
    scratch.put_results("after/a.json", &document);
    let tables = text(&scratch.capacity(&[]).stdout);
    assert_eq!(row(&tables, "roles after", &["relay"])[5], "25,833 (25,833)");
}
