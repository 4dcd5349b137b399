//! The two builds and the directions between them.

use crate::harness::standin::executable;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Names the folder that holds the programs of the previous build.
pub const PREVIOUS_BUILD_VARIABLE: &str = "SEDGERUN_PREVIOUS_BUILD";

/// Variables that change what a program reads.
const SETTINGS_VARIABLES: [&str; 5] =
    ["LB_CONFIG", "LB_OPERATOR", "LB_MGMT", "SEDGERUN_LOG", "SEDGERUN_LOG_FORMAT"];

/// A build of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The build in the folder that the environment names.
    Previous,
    /// The build under test.
    Current,
}

/// Which build comes first, and which one follows it.
#[derive(Clone, Copy, Debug)]
pub struct Direction {
    /// Writes the data; in a mixed cluster, the build of most heads.
    pub writer: Build,
    /// Reads them; in a mixed cluster, the build of the others.
    pub reader: Build,
}

/// An upgrade.
pub const PREVIOUS_TO_CURRENT: Direction = Direction { writer: Build::Previous, reader: Build::Current };
/// A downgrade.
pub const CURRENT_TO_PREVIOUS: Direction = Direction { writer: Build::Current, reader: Build::Previous };

impl Build {
    /// Both builds.
    pub const ALL: [Build; 2] = [Build::Previous, Build::Current];

    /// The program of this build. Fails the test if there is none, so that no run without it passes.
    pub fn executable(self) -> PathBuf {
        match self {
            Build::Current => executable(),
            Build::Previous => {
                let folder = std::env::var_os(PREVIOUS_BUILD_VARIABLE);
                let folder = folder.unwrap_or_else(|| panic!("{PREVIOUS_BUILD_VARIABLE} is not set"));
                let program = PathBuf::from(folder).join("sedgerun");
                assert!(program.is_file(), "{PREVIOUS_BUILD_VARIABLE}: {} is missing", program.display());
                program
            }
        }
    }

    /// Runs a command line of this build, with these variables alone as its settings.
    pub fn run(self, arguments: &[&str], variables: &[(&str, &str)]) -> Output {
        let mut command = Command::new(self.executable());
        for variable in SETTINGS_VARIABLES {
            command.env_remove(variable);
        }
        command.args(arguments).envs(variables.iter().copied());
        command.output().expect("the program")
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
                    super::$test($crate::builds::PREVIOUS_TO_CURRENT);
                }
            )+
        }
        mod current_to_previous {
            $(
                #[test]
                #[ignore = "needs a previous build in SEDGERUN_PREVIOUS_BUILD"]
                fn $test() {
                    super::$test($crate::builds::CURRENT_TO_PREVIOUS);
                }
            )+
        }
    };
}
