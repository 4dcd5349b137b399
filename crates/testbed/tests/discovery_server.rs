//! The simulated discovery server: delays, watches, and what breaks when it is down.

use sedgerun_policy::{BackendId, Endpoint, Readiness, UpdateScope};
use sedgerun_testbed::model::discovery_server::{CALL_TIME, DiscoveryServer, FAILED_CALL_TIME};

fn endpoint(id: u64, readiness: Readiness) -> Endpoint {
    Endpoint { backend: BackendId(id), shard: 0, zone: 0, started_at: 0, readiness }
}

#[test]
fn changes_are_delayed_in_order_and_only_reach_heads_that_watch() {
    let first = [endpoint(1, Readiness::Ready)];
    let mut server = DiscoveryServer::new(2, &first, [1.0, 2.0], 5);
    server.watch(0, 0);
    let updates = server.take_due(CALL_TIME);
    assert_eq!((updates.len(), updates[0].scope, updates[0].endpoints.len()), (1, UpdateScope::Full, 1));
    server.change(10_000, &endpoint(1, Readiness::Draining));
    server.change(20_000, &endpoint(1, Readiness::Removed));
    assert!(server.take_due(900_000).is_empty());
    let updates = server.take_due(3_000_000);
    let states: Vec<Readiness> = updates.iter().map(|update| update.endpoints[0].readiness).collect();
    assert_eq!(states, [Readiness::Draining, Readiness::Removed]);
    assert!(updates.iter().all(|update| update.head == 0));
    assert!(server.cached_list(1).is_empty(), "the other sees it when it polls");
}

#[test]
fn watches_break_and_calls_fail_while_the_server_is_down() {
    let mut server = DiscoveryServer::new(1, &[endpoint(1, Readiness::Ready)], [0.0; 2], 5);
    server.watch(0, 0);
    server.take_due(CALL_TIME);
    server.set_down(10_000, true);
    server.change(11_000, &endpoint(1, Readiness::Removed));
    let updates = server.take_due(20_000);
    assert_eq!((updates.len(), updates[0].scope), (1, UpdateScope::Failed));
    server.watch(30_000, 0);
    assert_eq!(server.take_due(30_000 + FAILED_CALL_TIME)[0].scope, UpdateScope::Failed);
    server.set_down(200_000, false);
    server.watch(300_000, 0);
    assert!(server.take_due(400_000)[0].endpoints.is_empty());
}
