//! Detection of stores that were rolled back to an older copy of their disk.

use sedgerun_replication::watermark::{Incarnation, Watermark, Watermarks};

#[test]
fn a_store_that_recovers_with_less_than_it_acknowledged_is_rolled_back() {
    let mark = |vote, term, index| Watermark { vote_term: vote, last_entry: (term, index) };
    let incarnation = |count| Incarnation { count, nonce: 100 + count };
    let mut watermarks = Watermarks::default();
    assert!(!watermarks.is_rolled_back(1, incarnation(1), Watermark::default()), "an unknown store");
    assert!(
        watermarks.observe(1, incarnation(2), mark(3, 3, 10))
            && !watermarks.observe(1, incarnation(2), mark(3, 3, 9))
    );
    assert!(
        !watermarks.is_rolled_back(1, incarnation(3), mark(3, 3, 10)),
        "everything acknowledged was recovered"
    );
    assert!(watermarks.is_rolled_back(1, incarnation(3), mark(3, 3, 9)), "a log entry is missing");
    assert!(watermarks.is_rolled_back(1, incarnation(3), mark(2, 3, 10)), "a vote is missing");
    assert!(watermarks.is_rolled_back(1, incarnation(1), mark(3, 3, 10)), "an earlier incarnation");
    assert!(
        !watermarks.is_rolled_back(1, incarnation(3), mark(4, 4, 8)),
        "a later leader has truncated its log"
    );
    assert!(
        !watermarks.is_rolled_back(1, incarnation(2), mark(1, 1, 1)),
        "the same incarnation has acknowledged more since its start"
    );
    let copy = Incarnation { count: 2, nonce: 7 };
    assert!(
        watermarks.is_rolled_back(1, copy, mark(3, 3, 10)),
        "a copy of the disk with the same incarnation count"
    );
    assert!(!watermarks.is_rolled_back(2, incarnation(1), Watermark::default()), "another store");
}
