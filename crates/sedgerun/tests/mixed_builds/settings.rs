//! Both builds make the same of every recorded settings file: values, conversions, error messages and exit statuses.

use crate::builds::{Build, Direction};
use crate::harness::standin::Program;
use std::path::{Path, PathBuf};

/// The operator's files in all their forms.
const OPERATOR_FILES: [&str; 5] = [
    "operator.sexp",
    "operator_converted.sexp",
    "operator_fleet.sexp",
    "operator_older.conf",
    "operator_relay.sexp",
];
const SUCCESS: i32 = 0;
const FAULTY: i32 = 2;

in_both_directions!(
    check_accepts_the_same_files,
    check_rejects_the_same_lines,
    a_converted_file_of_one_build_is_read_by_the_other,
    a_head_starts_on_a_file_that_the_other_build_converted,
);

fn recorded(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name)
}

fn read_recorded(name: &str) -> String {
    std::fs::read_to_string(recorded(name)).expect("a recorded file")
}

/// A folder of one test, removed with it.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str, direction: Direction) -> Folder {
        let name = format!("sedgerun-mixed-{test}-{}-{:?}", std::process::id(), direction.writer);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Folder(folder)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a command line printed and its exit status.
#[derive(Debug, PartialEq, Eq)]
struct Printed {
    status: Option<i32>,
    output: String,
    errors: String,
}

fn print(build: Build, arguments: &[&str], config: Option<&Path>, operator: Option<&Path>) -> Printed {
    let paths = [("LB_CONFIG", config), ("LB_OPERATOR", operator)];
    let text = |(name, path): (&'static str, Option<&Path>)| Some((name, path?.to_str()?.to_owned()));
    let variables: Vec<(&str, String)> = paths.into_iter().filter_map(text).collect();
    let variables: Vec<(&str, &str)> = variables.iter().map(|(name, path)| (*name, path.as_str())).collect();
    let output = build.run(arguments, &variables);
    Printed {
        status: output.status.code(),
        output: String::from_utf8(output.stdout).expect("text"),
        errors: String::from_utf8(output.stderr).expect("text"),
    }
}

/// What both builds print, which must be the same.
fn print_alike(
    direction: Direction,
    arguments: &[&str],
    config: Option<&Path>,
    operator: Option<&Path>,
) -> Printed {
    let [before, after] =
        [direction.writer, direction.reader].map(|build| print(build, arguments, config, operator));
    assert_eq!(before, after, "{arguments:?} {config:?} {operator:?}");
    after
}

fn check_accepts_the_same_files(direction: Direction) {
    let config = recorded("config.json");
    let accepted = |exports: u8, backends: u8| {
        format!("all is well: head h1 with 3 classes, 2 plans; {exports} exports, {backends} 9P boxes\n")
    };
    let expected = [accepted(3, 2), accepted(1, 2), accepted(0, 0), accepted(1, 2), accepted(0, 0)];
    for (name, expected) in OPERATOR_FILES.into_iter().zip(expected) {
        let printed = print_alike(direction, &["check"], Some(&config), Some(&recorded(name)));
        assert_eq!((printed.status, printed.output), (Some(SUCCESS), expected), "{name}");
    }
    let printed = print_alike(direction, &["check"], Some(&config), None);
    assert_eq!((printed.status, printed.output), (Some(SUCCESS), accepted(0, 0)));
    // The same files by their options in place of the variables.
    let config = config.to_string_lossy();
    let operator = recorded("operator.sexp");
    let operator = operator.to_string_lossy();
    let arguments = ["check", "--config", &config, "--operator", &operator];
    assert_eq!(print_alike(direction, &arguments, None, None).output, accepted(3, 2));
}

/// Each line of each file in turn is left out, misspelt, doubled, or has another value.
fn check_rejects_the_same_lines(direction: Direction) {
    let folder = Folder::new("rejected", direction);
    let valid_config = recorded("config.json");
    let mut faulty = 0;
    let mut count = |printed: &Printed| faulty += u32::from(printed.status == Some(FAULTY));
    for (name, form) in [
        ("config.json", "\""),
        ("operator.sexp", "("),
        ("operator_fleet.sexp", "("),
        ("operator_older.conf", ""),
    ] {
        let text = read_recorded(name);
        for number in 0..text.lines().count() {
            for change in [leave_out, double, change_value, |line: &str, form: &str| misspell(line, form)] {
                let changed =
                    folder.write(name, &with_changed_line(&text, number, |line| change(line, form)));
                let printed = if name == "config.json" {
                    print_alike(direction, &["check"], Some(&changed), None)
                } else {
                    print_alike(direction, &["check"], Some(&valid_config), Some(&changed))
                };
                count(&printed);
                if name != "config.json" {
                    print_alike(direction, &["check", "--convert"], None, Some(&changed));
                }
            }
        }
    }
    assert!(faulty > 200, "{faulty} of the changed files were rejected");
}

fn with_changed_line(text: &str, number: usize, change: impl Fn(&str) -> String) -> String {
    let lines = text.lines().enumerate();
    let lines = lines.map(|(at, line)| if at == number { change(line) } else { format!("{line}\n") });
    lines.collect()
}

fn leave_out(_line: &str, _form: &str) -> String {
    String::new()
}

fn double(line: &str, _form: &str) -> String {
    format!("{line}\n{line}\n")
}

/// Puts `?` before the first digit.
fn change_value(line: &str, _form: &str) -> String {
    let at = line.find(|char: char| char.is_ascii_digit()).unwrap_or(line.len());
    format!("{}?{}\n", &line[..at], &line[at..])
}

/// Puts `x-` before the key, which stands behind the first of these characters.
fn misspell(line: &str, form: &str) -> String {
    format!("{}\n", line.replacen(form, &format!("{form}x-"), 1))
}

fn a_converted_file_of_one_build_is_read_by_the_other(direction: Direction) {
    let folder = Folder::new("converted", direction);
    let config = recorded("config.json");
    for name in OPERATOR_FILES {
        let original = recorded(name);
        let converted = print_alike(direction, &["check", "--convert"], None, Some(&original));
        assert_eq!((converted.status, converted.errors.as_str()), (Some(SUCCESS), ""), "{name}");
        if name == "operator_older.conf" {
            assert_eq!(converted.output, read_recorded("operator_converted.sexp"));
        }
        let written = print(direction.writer, &["check", "--convert"], None, Some(&original)).output;
        let file = folder.write(name, &written);
        let read = print(direction.reader, &["check"], Some(&config), Some(&file));
        let of_original = print(direction.writer, &["check"], Some(&config), Some(&original));
        assert_eq!((read.status, read.output), (of_original.status, of_original.output), "{name}");
        // A converted file is in its final form.
        let again = print(direction.reader, &["check", "--convert"], None, Some(&file));
        assert_eq!(again.output, written, "{name}");
    }
    let malformed = folder.write("malformed.conf", "ninep.listen=127.0.0.1:1\nclients\n");
    let rejected = print_alike(direction, &["check", "--convert"], None, Some(&malformed));
    assert_eq!(rejected.status, Some(FAULTY), "{rejected:?}");
    let missing = folder.0.join("missing");
    let rejected = print_alike(direction, &["check", "--convert"], None, Some(&missing));
    assert_eq!(rejected.status, Some(FAULTY), "{rejected:?}");
}

/// The older form with ports of the system's choice, converted by one build; the other serves the exports in it.
fn a_head_starts_on_a_file_that_the_other_build_converted(direction: Direction) {
    use crate::harness::standin::{Client, Discovery, Fault, StandIn, config, operator};
    use std::time::Duration;
    let folder = Folder::new("started", direction);
    let backend = StandIn::start("s-1", 3, Duration::ZERO, Fault::None);
    let discovery = Discovery::start(vec![backend.entry("ready")]);
    let older = folder.write("older.conf", &operator(&[&backend]));
    let converted = print(direction.writer, &["check", "--convert"], None, Some(&older)).output;
    for export in ["press", "proofs"] {
        assert!(converted.contains(&format!("(export {export}")), "{converted}");
    }
    let executable = direction.reader.executable();
    let program = Program::start_executable(&executable, &config(discovery.address), Some(&converted), &[]);
    for export in ["press", "proofs"] {
        Client::attach(program.ninep.expect("a 9P address"), export);
    }
}
