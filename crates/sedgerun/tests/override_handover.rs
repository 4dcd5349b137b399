//! The file by which a process hands its disabled backends over to the next: what is read, and what is said of a
//! corrupt one.

use sedgerun::management::read_bans;

#[test]
fn a_corrupt_hand_over_file_is_rejected_with_its_line() {
    assert_eq!(read_bans("sedgerun bans 1\ns-1\ns-2\nend 2\n"), Ok(vec!["s-1".into(), "s-2".into()]));
    assert_eq!(read_bans("sedgerun bans 1\nend 0\n"), Ok(vec![]));
    let message = |text: &str| read_bans(text).unwrap_err().to_string();
    assert!(message("sedgerun bans 1\ns-1\n").contains("cut short"));
    assert!(message("sedgerun bans 1\ns-1\nend 2\n").starts_with("line 3"));
    assert!(message("bans\n").starts_with("line 1"));
    assert!(message("sedgerun bans 1\ns 1\nend 1\n").starts_with("line 2"));
}

/// Operators read the messages in the log.
#[test]
fn the_messages_on_a_corrupt_hand_over_file_stay_as_they_are() {
    for (text, expected) in [
        ("", "line 1: not \"sedgerun bans 1\""),
        ("sedgerun bans 1\ns-1\n", "the end line is missing: the file is cut short"),
        ("sedgerun bans 1\ns-1\nend 2\n", "line 3: 1 names, and the end says \"2\""),
        ("sedgerun bans 1\ns-1\n\n", "line 3: malformed name \"\""),
        ("sedgerun bans 1\ns\t1\nend 1\n", "line 2: malformed name \"s\\t1\""),
    ] {
        assert_eq!(read_bans(text).unwrap_err().to_string(), expected);
    }
}
