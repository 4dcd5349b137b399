//! Files of results that one build of the test bed wrote are read by another: the build under test and an older one, in
//! the folder that `SEDGERUN_PREVIOUS_BUILD` names. Each test runs in both directions.
//!
//! `SEDGERUN_PREVIOUS_BUILD=... cargo test --locked -p sedgerun-testbed --test previous_build -- --ignored --test-threads 1`

use sedgerun_testbed::capacity::documents::parse;
use sedgerun_testbed::scale::results::{Role, ScaleResults};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

/// Names the folder that holds the programs of the previous build.
const PREVIOUS_BUILD_VARIABLE: &str = "SEDGERUN_PREVIOUS_BUILD";
const TARGET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/targets/two-years.sexp");
/// A short scenario in which something happens.
const SCENARIO: &str =
    "(scenario short (seconds 3) (heads 2) (boxes 3) (load 0.5)\n  (at 1 (kill (heads 1) (for-s 1))))\n";
/// The results of that scenario, as `report` names them.
const GROUP: &str = "short-world";
/// What `report` writes beside its page for each group.
const CHARTS: [&str; 4] = ["service", "refused", "boxes", "latency"];
/// The only figure of a run that is not the same each time: how long the run took.
const DURATION: &str = "took_s";
/// The smallest cluster that `scale` measures: three voters, a relay, a real head and a hollow one.
const SCALE_ARGUMENTS: [&str; 11] = [
    "scale",
    "--steady-only",
    "--heads",
    "6",
    "--whole",
    "1",
    "--relays",
    "1",
    "--backends",
    "2",
    "--changes=2",
];

/// A build of the test bed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Build {
    Previous,
    Current,
}

/// Which build writes the results, and which one reads them.
#[derive(Clone, Copy, Debug)]
struct Direction {
    writer: Build,
    reader: Build,
}

const PREVIOUS_TO_CURRENT: Direction = Direction { writer: Build::Previous, reader: Build::Current };
const CURRENT_TO_PREVIOUS: Direction = Direction { writer: Build::Current, reader: Build::Previous };

impl Build {
    /// The program of this build. Fails the test if there is none, so that no run without it passes.
    fn executable(self) -> PathBuf {
        match self {
            Build::Current => PathBuf::from(env!("CARGO_BIN_EXE_sedgerun-testbed")),
            Build::Previous => {
                let folder = std::env::var_os(PREVIOUS_BUILD_VARIABLE);
                let folder = folder.unwrap_or_else(|| panic!("{PREVIOUS_BUILD_VARIABLE} is not set"));
                let program = PathBuf::from(folder).join("sedgerun-testbed");
                assert!(program.is_file(), "{PREVIOUS_BUILD_VARIABLE}: {} is missing", program.display());
                program
            }
        }
    }

    fn run(self, arguments: &[&str]) -> Output {
        let mut command = Command::new(self.executable());
        command.args(arguments).stdin(Stdio::null()).output().expect("the program")
    }

    /// The output of a run that succeeds.
    fn output(self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{self:?} {arguments:?}: {errors}");
        String::from_utf8(output.stdout).expect("text")
    }
}

/// Makes an ignored test of each function in each direction, so that each is reported by itself.
macro_rules! in_both_directions {
    ($($test:ident),+ $(,)?) => {
        mod previous_to_current {
            $(
                #[test]
                #[ignore = "needs a previous build in SEDGERUN_PREVIOUS_BUILD"]
                fn $test() {
                    super::$test(super::PREVIOUS_TO_CURRENT);
                }
            )+
        }
        mod current_to_previous {
            $(
                #[test]
                #[ignore = "needs a previous build in SEDGERUN_PREVIOUS_BUILD"]
                fn $test() {
                    super::$test(super::CURRENT_TO_PREVIOUS);
                }
            )+
        }
    };
}

in_both_directions!(results_of_a_scenario_are_reported_and_compared, results_of_a_scale_run_are_read);

/// A folder of one test, removed with it.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str, direction: Direction) -> Folder {
        let name = format!("sedgerun-previous-{test}-{}-{:?}", std::process::id(), direction.writer);
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    /// The path of a file or folder in it.
    fn path(&self, name: &str) -> String {
        self.0.join(name).to_str().expect("a path").to_owned()
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        std::fs::create_dir_all(Path::new(&path).parent().expect("a folder")).expect("a folder");
        std::fs::write(&path, text).expect("a file");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn read(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// The results of a file without how long the run took.
fn reproducible_results(path: &str) -> Value {
    let mut results: Value = serde_json::from_str(&read(path)).expect("results");
    let took = results.as_object_mut().expect("one result").remove(DURATION);
    assert!(took.is_some_and(|took| took.is_f64()), "{path}");
    results
}

fn results_of_a_scenario_are_reported_and_compared(direction: Direction) {
    let folder = Folder::new("report", direction);
    let scenario = folder.write("short.sexp", SCENARIO);
    let file = folder.path("written.json");
    direction.writer.output(&["run", &scenario, "--json", &file]);
    // The simulator is deterministic: the other build comes to the same results.
    let file_of_reader = folder.path("of-reader.json");
    direction.reader.output(&["run", &scenario, "--json", &file_of_reader]);
    assert_eq!(reproducible_results(&file), reproducible_results(&file_of_reader));
    let results = reproducible_results(&file);
    assert!(results["requests"].as_u64() > Some(50), "{results:#}");

    // Both builds report on the same file in the same page and charts.
    let pages = [direction.writer, direction.reader].map(|build| {
        let report = format!("{build:?}");
        folder.write(&format!("{report}/written.json"), &read(&file));
        let output = build.output(&["report", &folder.path(&report)]);
        let page = read(&folder.path(&format!("{report}/README.md")));
        assert_eq!(output.trim_end(), page.trim_end());
        let chart = |kind: &str| read(&folder.path(&format!("{report}/{GROUP}-{kind}.svg")));
        (page, CHARTS.map(chart))
    });
    assert_eq!(pages[0], pages[1]);
    let page = &pages[1].0;
    assert!(page.contains(&format!("## {GROUP}, 1 runs")) && page.contains("| fates.in time "), "{page}");

    // And compare it with another seed's in the same table.
    let other_seed = folder.path("other-seed.json");
    direction.reader.output(&["run", &scenario, "--seed", "9", "--json", &other_seed]);
    let tables =
        [direction.writer, direction.reader].map(|build| build.output(&["compare", &file, &other_seed]));
    assert_eq!(tables[0], tables[1]);
    let row = tables[1].lines().find(|line| line.starts_with("| worst10")).expect("a row");
    let column = |at: usize| row.split('|').nth(at).expect("a column").trim().to_owned();
    let written = results["worst10"].as_f64().expect("a figure");
    assert_eq!(column(2), format!("{written:.4}"), "{row}");
    assert_ne!(column(2), column(3), "{row}");
}

fn results_of_a_scale_run_are_read(direction: Direction) {
    let folder = Folder::new("scale", direction);
    let file = folder.path("scale.json");
    direction.writer.output(&[&SCALE_ARGUMENTS[..], &["--out", &file]].concat());
    let text = read(&file);
    let results = parse(&text).expect("valid results");
    assert_measured(&results);
    // Each key of the file is a key of the present form, and the other way round.
    let document: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(serde_json::to_value(&results).expect("JSON"), document);
    let pages = [direction.writer, direction.reader]
        .map(|build| build.output(&["capacity", "--results", &file, "--target", TARGET]));
    assert_eq!(pages[0], pages[1]);
    assert!(pages[1].contains("6, extrapolated x 1,033"), "{}", pages[1]);
    // A page that one build writes is up to date for the other.
    let page = folder.write("capacity.md", &page_with_markers(&pages[1]));
    let common = ["capacity", "--results", &file, "--target", TARGET];
    direction.writer.output(&[&common[..], &["--write", &page]].concat());
    direction.reader.output(&[&common[..], &["--check", &page]].concat());
    let corrupt = folder.write("corrupt.json", &text.replacen("\"heads\": 6", "\"heads\": 7", 1));
    let differing =
        direction.reader.run(&["capacity", "--results", &corrupt, "--target", TARGET, "--check", &page]);
    assert_eq!(differing.status.code(), Some(1), "{differing:?}");
}

fn assert_measured(results: &ScaleResults) {
    assert!(results.complete && results.not_run.is_empty(), "{results:?}");
    let [point] = results.points.as_slice() else { panic!("{:?}", results.points) };
    assert_eq!((point.heads, point.backends, point.reached), (6, 2, 6), "{point:?}");
    for (role, count) in [(Role::Voter, 3), (Role::Relay, 1), (Role::WholeHead, 1), (Role::HollowHead, 1)] {
        assert_eq!(point.roles.get(&role).map(|cost| cost.count), Some(count), "{role:?}");
    }
}

/// A page with the places of all tables, taken from their titles.
fn page_with_markers(tables: &str) -> String {
    let titles = tables.lines().filter_map(|line| line.strip_prefix("## "));
    titles.map(|title| format!("<!-- capacity: {title} -->\n\n<!-- end -->\n\n")).collect()
}
