//! How S-expressions are read, and which places their faults name.

use sedgerun_config::{Form, Place};

#[test]
fn forms_come_with_their_places() {
    let forms = Form::read("; a comment\n(box \"s-1\" (shard 3)\n  (on #t))").expect("forms");
    assert_eq!(forms.len(), 1);
    assert_eq!(forms[0].name, "box");
    assert_eq!(forms[0].atoms().next(), Some(("s-1", Place { line: 2, column: 6 })));
    let shard = forms[0].forms().next().expect("a form");
    assert_eq!((shard.name.as_str(), shard.place), ("shard", Place { line: 2, column: 12 }));
    assert_eq!(forms[0].forms().nth(1).expect("a form").atoms().next().expect("an atom").0, "true");
}

#[test]
fn malformed_text_is_reported_with_its_place() {
    for (text, place) in
        [("(a (b 1)\n", "line 2"), ("(a\n 5x)", "line 2"), ("(a . b)", "line 1"), ("x", "line 1")]
    {
        let message = Form::read(text).expect_err(text).to_string();
        assert!(message.contains(place), "{text:?}: {message}");
    }
    let deep = "(a ".repeat(200);
    assert!(Form::read(&deep).is_err());
}
