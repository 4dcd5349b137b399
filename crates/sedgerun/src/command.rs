//! The command line: `sedgerun` or `sedgerun serve` runs one head with the configuration that the platform
//! names in `LB_CONFIG` and the operator's file in `LB_OPERATOR`; `sedgerun check` says all that is wrong with
//! them.

use crate::config::Sources;
use crate::head::{Head, HeadError, Signals};
use crate::logging;
use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use sedgerun_cluster::{ClusterHandle, client, force_recovery::force_recovery};
use sedgerun_config::{Faults, operator};
use sedgerun_replication::state::Command as StateCommand;
use std::path::PathBuf;
use std::process::ExitCode;

/// A storage gateway head that keeps volumes to their reservations, shares and limits.
#[derive(Parser)]
#[command(name = "sedgerun", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    files: Files,
    /// What is logged: a level (error, warn, info, debug, trace), or target=level pairs joined by commas
    #[arg(long, env = "SEDGERUN_LOG", default_value = "info", global = true)]
    log: String,
    /// The form of log lines
    #[arg(long, env = "SEDGERUN_LOG_FORMAT", value_enum, default_value = "human", global = true)]
    log_format: LogForm,
}

#[derive(Args)]
struct Files {
    /// The platform's JSON
    #[arg(long, env = "LB_CONFIG", global = true)]
    config: Option<String>,
    /// The operator's file
    #[arg(long, env = "LB_OPERATOR", global = true)]
    operator: Option<String>,
}

#[derive(Subcommand)]
enum Command {
    /// Run one head (the default)
    Serve,
    /// Read all settings and say every fault in them; exit status 2 where there is one
    Check {
        /// Print the operator's file as S-expressions
        #[arg(long)]
        convert: bool,
    },
    /// Ask the heads of the fleet, or begin it
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

#[derive(Subcommand)]
enum FleetCommand {
    /// How each voter stands
    Status {
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Begin the fleet with the voters of this head's settings, none of which may hold anything yet
    Begin,
    /// How many heads vote: an odd number, 7 at the most (`keepers` is the deprecated spelling)
    #[command(alias = "keepers")]
    Voters {
        /// How many
        number: u8,
    },
    /// How long a voter may be silent before another takes its place
    LostAfter {
        /// In milliseconds, 1000 at the least
        milliseconds: u64,
    },
    /// Let a head vote again that was kept from it by `remove`
    Add {
        /// The head's name
        head: String,
    },
    /// Keep a head from voting; another takes its place
    Remove {
        /// The head's name
        head: String,
    },
    /// Give up the store that votes under a head's name: another takes its place at once
    Replace {
        /// The head's name
        head: String,
    },
    /// Write all that the fleet holds to a file
    Backup {
        /// The file
        file: PathBuf,
    },
    /// Put a backup into a fleet that holds nothing yet
    Restore {
        /// The file
        file: PathBuf,
    },
    /// With a majority lost for good: make a fleet of one of this head's store; the head must not be running.
    /// Without the flag it says what may be lost
    Recover {
        /// The version after which whatever was promised may be lost
        #[arg(long)]
        lose_changes_after: Option<u64>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    /// Lines for people
    Human,
    /// One JSON object a line
    Json,
}

/// Exit status where settings are at fault.
const FAULTY: u8 = 2;
/// Exit status of a head that could not start, or run on.
const FAILED: u8 = 1;

/// Runs the command line.
pub fn main() -> ExitCode {
    let Cli { command, files, log, log_format } = Cli::parse();
    // Tests kill the process at named points; a build for service has none.
    let _points = fail::has_failpoints().then(fail::FailScenario::setup);
    match command {
        None | Some(Command::Serve) => {
            let form = match log_format {
                LogForm::Human => logging::LogFormat::Human,
                LogForm::Json => logging::LogFormat::Json,
            };
            serve(sources(files), &log, form)
        }
        Some(Command::Check { convert }) => print_result(check(files, convert)),
        Some(Command::Fleet { command }) => print_result(fleet(files, &command)),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Cli::command(), "sedgerun", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}

/// Prints the output of a command, or all faults.
fn print_result(result: Result<String, Faults>) -> ExitCode {
    match result {
        Ok(output) => {
            print!("{output}");
            ExitCode::SUCCESS
        }
        Err(faults) => {
            faults.0.iter().for_each(|fault| eprintln!("{fault}"));
            ExitCode::from(FAULTY)
        }
    }
}

/// Carries out `sedgerun fleet ...`.
fn fleet(files: Files, command: &FleetCommand) -> Result<String, Faults> {
    let config = sources(files)?.read()?;
    let missing = || Faults::one("fleet", "the operator's file has no (fleet ...)", None);
    let settings = config.operator.fleet.as_ref().ok_or_else(missing)?;
    let name = config.name.as_str();
    let committed = |version: u64| format!("settled at version {version}\n");
    let change = |command| client::submit_change(settings, name, command).map(committed);
    let allow = |head: &String, allowed| change(StateCommand::AllowVoter { head: head.clone(), allowed });
    let result = match command {
        FleetCommand::Status { json } => client::status(settings, name, *json),
        FleetCommand::Begin => client::begin(settings, name),
        FleetCommand::Voters { number } => change(StateCommand::SetVoters(*number)),
        FleetCommand::LostAfter { milliseconds } => change(StateCommand::SetDeadAfter(*milliseconds)),
        FleetCommand::Add { head } => allow(head, true),
        FleetCommand::Remove { head } => allow(head, false),
        FleetCommand::Replace { head } => client::replace_voter(settings, name, head).map(committed),
        FleetCommand::Backup { file } => client::backup(settings, name, file),
        FleetCommand::Restore { file } => client::restore(settings, name, file),
        FleetCommand::Recover { lose_changes_after } => {
            let recovered = force_recovery(settings, name, *lose_changes_after);
            return recovered.map_err(|error| fleet_fault(&error));
        }
    };
    result.map_err(|error| fleet_fault(&error))
}

fn fleet_fault(error: &dyn std::error::Error) -> Faults {
    Faults::one("fleet", format!("fleet: {error}"), None)
}

/// Runs one head from start to exit; what is wrong with its settings is logged.
pub fn serve(sources: Result<Sources, Faults>, log: &str, form: logging::LogFormat) -> ExitCode {
    let _writing = match logging::start(log, form) {
        Ok(writing) => writing,
        Err(what) => {
            eprintln!("sedgerun: {what}");
            return ExitCode::FAILURE;
        }
    };
    match actix_rt::System::new().block_on(run(sources)) {
        Ok(()) => ExitCode::SUCCESS,
        Err((status, faults)) => {
            faults.0.iter().for_each(|fault| tracing::error!("sedgerun: {fault}"));
            ExitCode::from(status)
        }
    }
}

fn sources(files: Files) -> Result<Sources, Faults> {
    let Files { config, operator } = files;
    let missing =
        || Faults::one("LB_CONFIG", "LB_CONFIG is missing: it or --config names the platform's JSON", None);
    Ok(Sources { config: config.ok_or_else(missing)?, operator })
}

async fn run(sources: Result<Sources, Faults>) -> Result<(), (u8, Faults)> {
    let plain = |error: HeadError| (FAILED, Faults::one("", error.to_string(), None));
    // Before all else: a signal that nothing catches yet ends the program.
    let signals = Signals::catch().map_err(plain)?;
    let sources = sources.map_err(|faults| (FAILED, faults))?;
    let config = sources.read().map_err(|faults| (FAILED, faults))?;
    let joined =
        config.operator.fleet.as_ref().map(|fleet| ClusterHandle::start(fleet, &config.name)).transpose();
    // A store that cannot be trusted is for the operator to look at: another start would not mend it.
    let fleet = joined.map_err(|error| (FAULTY, Faults::one("fleet.dir", error.to_string(), None)))?;
    Head::new(config, sources, fleet).run(signals).await.map_err(plain)
}

fn check(files: Files, convert: bool) -> Result<String, Faults> {
    if convert {
        let missing =
            || Faults::one("LB_OPERATOR", "LB_OPERATOR is missing: it or --operator names a file", None);
        let path = files.operator.ok_or_else(missing)?;
        let text = std::fs::read_to_string(&path)
            .map_err(|error| Faults::one("LB_OPERATOR", format!("LB_OPERATOR: {path}: {error}"), None))?;
        return operator::read(&text)
            .map(|pairs| operator::write(&pairs))
            .map_err(|faults| faults.under(&path));
    }
    let config = sources(files)?.read()?;
    let operator = &config.operator;
    let exports: usize = operator.tenants.all().values().map(std::collections::BTreeMap::len).sum();
    Ok(format!(
        "all is well: head {} with {} classes, {} plans; {exports} exports, {} 9P boxes\n",
        config.name,
        config.classes.len(),
        config.plans.len(),
        operator.ninep_backends.len()
    ))
}
