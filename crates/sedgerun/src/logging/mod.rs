//! What the program says, on standard error: lines for people or JSON, each place in the program bounded in
//! lines a second. Writing never holds the program up: lines that nobody takes are left out.

use std::collections::HashMap;
use std::io::{IsTerminal, Write};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::callsite::Identifier;
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

/// Lines that wait for standard error at the most.
const MOST_WAITING: usize = 1024;
/// Lines that one place in the program may write in a span; the rest is counted.
const MOST_LINES: u32 = 50;
/// That span.
const SPAN: Duration = Duration::from_secs(1);

/// The form of the lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Time, level and text.
    Human,
    /// One JSON object a line.
    Json,
}

/// Begins to write what is at or over the level; `SEDGERUN_LOG` is a level, or `target=level` pairs joined by
/// commas. What is held back is written when the guard is dropped.
pub fn start(level: &str, form: Form) -> Result<WorkerGuard, String> {
    let targets: Targets = level.parse().map_err(|error| format!("SEDGERUN_LOG: {level}: {error}"))?;
    // The consensus library speaks of each step; what matters of it the head says itself.
    let quiet = targets.default_level().map_or(LevelFilter::WARN, |level| level.min(LevelFilter::WARN));
    let targets = if level.contains("openraft") { targets } else { targets.with_target("openraft", quiet) };
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MOST_WAITING)
        .finish(std::io::stderr());
    let flood = Flood { form, writer: writer.clone(), places: Mutex::default() };
    let lines = tracing_subscriber::fmt::layer().with_writer(writer).with_target(false);
    let lines = match form {
        Form::Human => lines.with_ansi(std::io::stderr().is_terminal()).boxed(),
        Form::Json => lines.json().flatten_event(true).boxed(),
    };
    let registry = tracing_subscriber::registry().with(targets).with(flood).with(lines);
    registry.try_init().map_err(|error| error.to_string())?;
    Ok(guard)
}

/// How much one place has written since a time.
struct Said {
    since: Instant,
    lines: u32,
}

/// Keeps each place in the program to its lines a span, and says how many were left out.
struct Flood {
    form: Form,
    writer: NonBlocking,
    places: Mutex<HashMap<Identifier, Said>>,
}

impl Flood {
    /// Takes one line of a place; whether it may be written, and how many of a span before were not.
    fn take(&self, place: Identifier, now: Instant) -> (bool, u32) {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let said = places.entry(place).or_insert(Said { since: now, lines: 0 });
        let mut left_out = 0;
        if now.duration_since(said.since) >= SPAN {
            left_out = said.lines.saturating_sub(MOST_LINES);
            *said = Said { since: now, lines: 0 };
        }
        said.lines = said.lines.saturating_add(1);
        (said.lines <= MOST_LINES, left_out)
    }
}

impl<S: Subscriber> Layer<S> for Flood {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let (written, left_out) = self.take(event.metadata().callsite(), Instant::now());
        if left_out > 0 {
            let line = match self.form {
                Form::Human => format!("{left_out} lines like the next were left out\n"),
                Form::Json => format!(
                    "{{\"level\":\"WARN\",\"message\":\"lines were left out\",\"lines\":{left_out}}}\n"
                ),
            };
            // A line about lines: losing it loses nothing else.
            let _ = self.writer.clone().write_all(line.as_bytes());
        }
        written
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tracing::callsite::Callsite;

    #[test]
    fn a_flood_from_one_place_is_bounded_and_counted() {
        let (writer, _guard) = NonBlockingBuilder::default().finish(std::io::sink());
        let flood = Flood { form: Form::Human, writer, places: Mutex::default() };
        tracing::callsite::register(&PLACE);
        let now = Instant::now();
        let written = (0..1000).filter(|_| flood.take(PLACE.metadata().callsite(), now).0).count();
        assert_eq!(written, MOST_LINES as usize);
        assert_eq!(flood.take(PLACE.metadata().callsite(), now + SPAN), (true, 1000 - MOST_LINES));
        assert_eq!(flood.take(PLACE.metadata().callsite(), now + SPAN), (true, 0));
    }

    static PLACE: Place = Place;
    static METADATA: tracing::Metadata<'static> = tracing::metadata! {
        name: "place", target: "test", level: tracing::Level::INFO, fields: &[], callsite: &PLACE,
        kind: tracing::metadata::Kind::EVENT
    };

    struct Place;

    impl Callsite for Place {
        fn set_interest(&self, _: tracing::subscriber::Interest) {}

        fn metadata(&self) -> &tracing::Metadata<'static> {
            &METADATA
        }
    }
}
