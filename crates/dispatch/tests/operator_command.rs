//! Parsing of operators' commands, and the error messages for malformed lines.

use sedgerun_dispatch::{OperatorCommand, OperatorCommandError};

#[test]
fn commands_are_parsed_and_malformed_lines_are_rejected() {
    assert_eq!(OperatorCommand::parse(b"ready"), Ok(OperatorCommand::Ready));
    assert_eq!(OperatorCommand::parse(b" show-stat "), Ok(OperatorCommand::ShowStat));
    assert_eq!(OperatorCommand::parse(b"disable-server s-1"), Ok(OperatorCommand::Disable("s-1".into())));
    assert_eq!(OperatorCommand::parse(b"enable-server s-1"), Ok(OperatorCommand::Enable("s-1".into())));
    assert_eq!(OperatorCommand::parse(b"drain"), Ok(OperatorCommand::Drain));
    assert_eq!(OperatorCommand::parse(b"resume"), Ok(OperatorCommand::Resume));
    for malformed in [&b""[..], b"disable-server", b"ready now", b"reboot", b"\xff\xfe", &[b'a'; 300]] {
        assert!(OperatorCommand::parse(malformed).is_err(), "{malformed:?}");
    }
}

/// Operators' scripts match these messages, so they must not change.
#[test]
fn each_malformed_line_gets_its_own_message() {
    let message = |line: &[u8]| OperatorCommand::parse(line).map_err(|error| error.to_string());
    let long_name = [b'x'; 40];
    for (line, text) in [
        (&[b'a'; 257][..], "line over 256 bytes"),
        (b"\xff\xfe", "line is not UTF-8"),
        (b"  ", "empty line"),
        (b"disable-server", "disable-server wants a brick's id"),
        (b"fleet-enable-server a\x01b", "fleet-enable-server: malformed id"),
        (b"rebo\"ot now", "unknown call \"rebo\\\"ot\""),
        (&long_name, "unknown call \"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\""),
        (b"enable-server s-1 s-2", "enable-server: too many words"),
    ] {
        assert_eq!(message(line), Err(text.to_owned()));
    }
    assert!(matches!(OperatorCommand::parse(b"\xff"), Err(OperatorCommandError::NotUtf8(_))));
}
