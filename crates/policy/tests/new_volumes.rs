//! Clients that name ever new volumes: what a head remembers of them is bounded by number, not by their rate.

mod common;

use common::head::{TestHead, sends};
use common::*;
use sedgerun_policy::*;

/// Requests of a client that names a new volume with each, in a few seconds at full speed.
const REQUESTS: u32 = 60_000;
/// Time between them.
const INTERVAL: Micros = 100;

/// Guards against state for each volume ever named, which is dropped by time alone.
#[test]
fn ever_new_volumes_do_not_take_up_memory_without_end() {
    let mut head = TestHead::new(settings(), 7);
    head.update_endpoints(0, UpdateScope::Cached, vec![endpoint(1, 1, 0, Readiness::Ready)]);
    let mut served = 0;
    for number in 0..REQUESTS {
        let now = SECOND + Micros::from(number) * INTERVAL;
        let request =
            Request { volume: u64::from(number), ..request(number, IDEMPOTENT, Some(1), now + SECOND) };
        let sent = sends(&head.receive(now, request));
        served += sent.len();
        head.end_request(now, number);
        let (volumes, demands) = head.tracked_volumes();
        assert!(volumes <= 4096 && demands <= 8192, "{volumes} volumes, {demands} demands after {number}");
    }
    assert!(served > 0, "nothing was sent");
}
