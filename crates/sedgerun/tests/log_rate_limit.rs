//! The log's rate limit: what one place in the program may write, and what is counted of the rest.

use sedgerun::logging::rate_limit::{Admission, MAX_LINES, PERIOD, RateLimit};
use std::time::Instant;
use tracing::callsite::Callsite;

#[test]
fn a_flood_from_one_place_is_bounded_and_counted() {
    let limit = RateLimit::default();
    tracing::callsite::register(&PLACE);
    let now = Instant::now();
    let written = (0..1000).filter(|_| limit.admit(PLACE.metadata().callsite(), now).is_admitted).count();
    assert_eq!(written, MAX_LINES as usize);
    let at_next_period = || limit.admit(PLACE.metadata().callsite(), now + PERIOD);
    assert_eq!(at_next_period(), Admission { is_admitted: true, left_out: 1000 - MAX_LINES });
    assert_eq!(at_next_period(), Admission { is_admitted: true, left_out: 0 });
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
