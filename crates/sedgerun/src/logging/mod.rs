//! The program's log on standard error: lines for people or JSON, bounded for each place in the program by
//! [`rate_limit`]. Writing never blocks the program: lines that standard error does not take are dropped.

pub mod rate_limit;

/// Logs a line at info level, with a separate callsite for each pattern. The rate limit applies to each callsite, so that
/// lines of one kind do not crowd out lines of another.
macro_rules! info_by_kind {
    ($value:expr, [$($kind:pat),+ $(,)?], $line:expr) => {
        match $value {
            $($kind => tracing::info!("{}", $line),)+
        }
    };
}

pub(crate) use info_by_kind;

use self::rate_limit::RateLimit;
use std::io::{IsTerminal, Write};
use std::time::Instant;
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{LevelFilter, ParseError, Targets};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};

/// The most lines that wait for standard error; more are dropped.
const MAX_BUFFERED_LINES: usize = 1024;
/// The consensus library: it logs each of its steps.
const CONSENSUS_TARGET: &str = "openraft";
/// The lowest level at which the consensus library logs by default: what matters of it, the head logs itself.
const CONSENSUS_LEVEL: LevelFilter = LevelFilter::WARN;

/// The form of the lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Time, level and text.
    Human,
    /// One JSON object a line.
    Json,
}

/// Why logging could not start.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The level cannot be read.
    #[error("SEDGERUN_LOG: {level}: {source}")]
    Level {
        /// The level as it was given.
        level: String,
        /// What is wrong with it.
        source: ParseError,
    },
    /// The process logs already.
    #[error(transparent)]
    AlreadyStarted(#[from] TryInitError),
}

/// Starts to write what is at or over the level; `SEDGERUN_LOG` is a level, or `target=level` pairs joined by commas.
/// Lines that wait are written when the guard is dropped.
pub fn start(level: &str, form: LogFormat) -> Result<WorkerGuard, LoggingError> {
    let targets = targets(level)?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stderr());
    let limit = RateLimitLayer { form, writer: writer.clone(), limit: RateLimit::default() };
    let lines = tracing_subscriber::fmt::layer().with_writer(writer).with_target(false);
    let lines = match form {
        LogFormat::Human => lines.with_ansi(std::io::stderr().is_terminal()).boxed(),
        LogFormat::Json => lines.json().flatten_event(true).boxed(),
    };
    tracing_subscriber::registry().with(targets).with(limit).with(lines).try_init()?;
    Ok(guard)
}

/// The levels by target; the consensus library's only where they name it.
fn targets(level: &str) -> Result<Targets, LoggingError> {
    let targets: Targets =
        level.parse().map_err(|source| LoggingError::Level { level: level.to_owned(), source })?;
    if level.contains(CONSENSUS_TARGET) {
        return Ok(targets);
    }
    let consensus_level = targets.default_level().map_or(CONSENSUS_LEVEL, |level| level.min(CONSENSUS_LEVEL));
    Ok(targets.with_target(CONSENSUS_TARGET, consensus_level))
}

/// Applies the rate limit to each line, and writes how many lines were left out.
struct RateLimitLayer {
    form: LogFormat,
    writer: NonBlocking,
    limit: RateLimit,
}

impl RateLimitLayer {
    fn write_left_out(&self, left_out: u32) {
        let line = match self.form {
            LogFormat::Human => format!("{left_out} lines like the next were left out\n"),
            LogFormat::Json => {
                format!("{{\"level\":\"WARN\",\"message\":\"lines were left out\",\"lines\":{left_out}}}\n")
            }
        };
        // A line about lines: losing it loses nothing else.
        let _ = self.writer.clone().write_all(line.as_bytes());
    }
}

impl<S: Subscriber> Layer<S> for RateLimitLayer {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let admission = self.limit.admit(event.metadata().callsite(), Instant::now());
        if admission.left_out > 0 {
            self.write_left_out(admission.left_out);
        }
        admission.is_admitted
    }
}
