//! Where a key stands in the platform's JSON.

use sedgerun_config::platform::locate;

#[test]
fn keys_are_found_in_their_text() {
    let text = "{\"name\": \"n3\",\n \"settings\": {\"classes\": [{\"a\": 1},\n  {\"a\": \"x\"}]}}";
    let at = |key| locate(text, key).map(|place| (place.line, place.column));
    assert_eq!(at("name"), Some((1, 10)));
    assert_eq!(at("settings.classes.1.a"), Some((3, 9)));
    assert_eq!(at("settings.classes.1.missing"), Some((3, 3)));
    assert_eq!(at("nothing"), Some((1, 1)));
}
