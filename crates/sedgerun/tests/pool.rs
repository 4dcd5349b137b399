//! The pool of clients: the least recently used one goes first, whatever was used, replaced or removed before.

use proptest::prelude::*;
use sedgerun::backend::pool::ClientPool;
use std::net::{Ipv4Addr, SocketAddr};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + number))
}

#[test]
fn the_least_recently_used_client_goes_first() {
    let mut pool = ClientPool::default();
    (0..4).for_each(|number| pool.insert(address(number), number));
    assert_eq!(pool.get(address(0)), Some(0));
    pool.insert(address(1), 11);
    assert_eq!(pool.remove(address(3)), Some(3));
    assert_eq!(pool.get(address(3)), None);
    let order: Vec<u16> = std::iter::from_fn(|| pool.remove_least_recent()).collect();
    assert_eq!(order, [2, 0, 11]);
    assert!(pool.is_empty());
}

#[test]
fn all_but_one_can_be_removed() {
    let mut pool = ClientPool::default();
    (0..4).for_each(|number| pool.insert(address(number), number));
    pool.retain_only(address(2));
    assert_eq!((pool.len(), pool.get(address(2)), pool.get(address(1))), (1, Some(2), None));
    pool.retain_only(address(1));
    assert!(pool.is_empty() && pool.remove_least_recent().is_none());
}

proptest! {
    #[test]
    fn the_pool_keeps_the_order_of_use(steps in prop::collection::vec((0_u8..4, 0_u16..6), 0..200)) {
        let mut pool = ClientPool::default();
        // What the pool has, the least recently used first.
        let mut model: Vec<(u16, usize)> = Vec::new();
        for (step, (kind, number)) in steps.into_iter().enumerate() {
            let at = model.iter().position(|(address, _)| *address == number);
            match kind {
                0 => {
                    at.map(|at| model.remove(at));
                    model.push((number, step));
                    pool.insert(address(number), step);
                }
                1 => {
                    let entry = at.map(|at| model.remove(at));
                    model.extend(entry);
                    prop_assert_eq!(pool.get(address(number)), entry.map(|(_, client)| client));
                }
                2 => {
                    let client = at.map(|at| model.remove(at).1);
                    prop_assert_eq!(pool.remove(address(number)), client);
                }
                _ => {
                    let oldest = (!model.is_empty()).then(|| model.remove(0).1);
                    prop_assert_eq!(pool.remove_least_recent(), oldest);
                }
            }
            prop_assert_eq!(pool.len(), model.len());
        }
    }
}
