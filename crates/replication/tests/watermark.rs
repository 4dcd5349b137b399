//! Which stores are taken for older copies.

use sedgerun_replication::watermark::{Incarnation, Watermark, Watermarks};

#[test]
fn a_store_that_recovers_with_less_than_it_acknowledged_is_an_older_copy() {
    let mark = |vote, term, index| Watermark { vote_term: vote, last_entry: (term, index) };
    let incarnation = |count| Incarnation { count, nonce: 100 + count };
    let mut watermarks = Watermarks::default();
    assert!(!watermarks.is_rolled_back(1, incarnation(1), Watermark::default()), "nothing is known of it");
    assert!(
        watermarks.observe(1, incarnation(2), mark(3, 3, 10))
            && !watermarks.observe(1, incarnation(2), mark(3, 3, 9))
    );
    assert!(!watermarks.is_rolled_back(1, incarnation(3), mark(3, 3, 10)), "it wakes with all");
    assert!(watermarks.is_rolled_back(1, incarnation(3), mark(3, 3, 9)), "an entry is gone");
    assert!(watermarks.is_rolled_back(1, incarnation(3), mark(2, 3, 10)), "a vote is gone");
    assert!(watermarks.is_rolled_back(1, incarnation(1), mark(3, 3, 10)), "an earlier life");
    assert!(
        !watermarks.is_rolled_back(1, incarnation(3), mark(4, 4, 8)),
        "a later leader has shortened its log"
    );
    assert!(
        !watermarks.is_rolled_back(1, incarnation(2), mark(1, 1, 1)),
        "the same life has gone on since it woke"
    );
    let twin = Incarnation { count: 2, nonce: 7 };
    assert!(watermarks.is_rolled_back(1, twin, mark(3, 3, 10)), "a copy that counts the same life");
    assert!(!watermarks.is_rolled_back(2, incarnation(1), Watermark::default()), "another store");
}
