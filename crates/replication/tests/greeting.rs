//! Which greetings are admitted, and the origin of a fleet.

use sedgerun_replication::greeting::{Greeting, HandshakeError, admit, cluster_origin};
use sedgerun_replication::watermark::{Incarnation, Watermark};

#[test]
fn strangers_are_refused_each_with_its_reason() {
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
    let fleet = Greeting { cluster: "perth".into(), ..other.clone() };
    assert_eq!(admit(&own, &fleet), Err(HandshakeError::OtherCluster));
    let secret = Greeting { secret: "known to the fleeT".into(), ..other.clone() };
    assert_eq!(admit(&own, &secret), Err(HandshakeError::WrongSecret));
    assert_eq!(admit(&own, &Greeting { origin: Some(8), ..other.clone() }), Err(HandshakeError::OtherOrigin));
    assert_eq!(
        admit(&own, &Greeting { head: "h1".into(), ..other.clone() }),
        Err(HandshakeError::DuplicateName)
    );
    // The command line of the same head has no store.
    let line = Greeting { head: "h1".into(), store: None, ..other };
    assert_eq!((admit(&own, &line), admit(&line, &own)), (Ok(()), Ok(())));
    assert_eq!(cluster_origin([3, 1, 2]), cluster_origin([1, 2, 3]));
    assert_ne!(cluster_origin([1, 2]), cluster_origin([1, 2, 3]));
}
