//! Which greetings are accepted, and the origin of a cluster.

use sedgerun_replication::greeting::{Greeting, HandshakeError, admit, cluster_origin};
use sedgerun_replication::watermark::{Incarnation, Watermark};

#[test]
fn each_mismatch_in_a_greeting_is_rejected_with_its_reason() {
    let own = Greeting {
        cluster: "sesvete".into(),
        secret: "known to the fleet".into(),
        head: "h1".into(),
        store: Some(1),
        zone: None,
        address: String::new(),
        incarnation: Incarnation { count: 4, nonce: 7 },
        initial_watermark: Watermark::default(),
        origin: Some(9),
    };
    let other = Greeting { head: "h2".into(), store: Some(2), ..own.clone() };
    assert_eq!(admit(&own, &other), Ok(()));
    assert_eq!(admit(&own, &Greeting { origin: None, ..other.clone() }), Ok(()));
    let other_cluster = Greeting { cluster: "perth".into(), ..other.clone() };
    assert_eq!(admit(&own, &other_cluster), Err(HandshakeError::OtherCluster));
    let wrong_secret = Greeting { secret: "known to the fleeT".into(), ..other.clone() };
    assert_eq!(admit(&own, &wrong_secret), Err(HandshakeError::WrongSecret));
    assert_eq!(admit(&own, &Greeting { origin: Some(8), ..other.clone() }), Err(HandshakeError::OtherOrigin));
    assert_eq!(
        admit(&own, &Greeting { head: "h1".into(), ..other.clone() }),
        Err(HandshakeError::DuplicateName)
    );
    // The command line connects under the head's name, but has no store.
    let command_line = Greeting { head: "h1".into(), store: None, ..other };
    assert_eq!((admit(&own, &command_line), admit(&command_line, &own)), (Ok(()), Ok(())));
    assert_eq!(cluster_origin([3, 1, 2]), cluster_origin([1, 2, 3]));
    assert_ne!(cluster_origin([1, 2]), cluster_origin([1, 2, 3]));
}
