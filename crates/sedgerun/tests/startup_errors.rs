//! Why a head could not start, as operators read it in the log.

use sedgerun::head::HeadError;
use std::error::Error;
use std::io;

#[test]
fn the_messages_of_a_failed_start_stay_as_they_are() {
    let source = || io::Error::other("reason");
    let named = || "7".to_owned();
    let address = "127.0.0.1:80".parse().expect("an address");
    for (error, expected) in [
        (HeadError::Signals(source()), "no signals: reason"),
        (
            HeadError::Bind { key: "ninep.listen", address, source: source() },
            "ninep.listen: cannot bind 127.0.0.1:80: reason",
        ),
        (HeadError::PassedListener { named: named(), source: source() }, "LB_ACCEPT_FD 7: reason"),
    ] {
        assert_eq!(error.to_string(), expected);
        assert!(error.source().is_some_and(|source| source.to_string() == "reason"), "{error:?}");
    }
    assert_eq!(
        HeadError::ListenerNotPassed { named: named() }.to_string(),
        "LB_ACCEPT_FD 7: LISTEN_FDS does not hand it on; see deploy/balancer.toml"
    );
}
