//! The operator's file in its two forms: they come to the same pairs, and faults name their places.

use sedgerun_config::Pairs;
use sedgerun_config::operator::{is_forms, read, write};

const OLDER_FORM: &str = "ninep.listen=127.0.0.1:0\nexports.count=1\nexports.0.tenant=horvat\nexports.0.name=press\n\
    exports.0.tree=\nexports.0.volume=00000003b4d60021\nexports.0.readClass=read\nboxes.count=1\n\
    boxes.0.id=s-1\nboxes.0.address=127.0.0.1:5\nvrrp.addresses=127.0.0.2,127.0.0.3\n";

#[test]
fn the_older_form_converts_to_the_same_pairs() {
    let old = read(OLDER_FORM).expect("pairs");
    let forms = write(&old);
    assert!(is_forms(&forms) && !is_forms(OLDER_FORM));
    let new = read(&forms).expect(&forms);
    let all = |pairs: &Pairs| -> Vec<(String, String)> {
        pairs.keys().map(|key| (key.to_owned(), pairs.text(key).unwrap_or_default().to_owned())).collect()
    };
    assert_eq!(all(&old), all(&new), "{forms}");
}

#[test]
fn faults_name_key_and_place() {
    let twice = read("(ninep (listen \"a\")\n  (listen \"b\"))").expect_err("twice").to_string();
    assert_eq!(twice, "setting ninep.listen is there twice (line 1, column 8)");
    let pairs = read("\n(box \"s-1\"\n  (shard x))").expect("pairs");
    pairs.count("boxes.0.shard", 0.0, 9.0, None);
    pairs.required("boxes.0.address");
    let faults = pairs.finish(()).expect_err("faults");
    assert_eq!(faults.0[0].to_string(), "setting boxes.0.shard is not a figure: x (line 3, column 3)");
    assert_eq!(faults.0[1].to_string(), "setting boxes.0.address is missing (line 2, column 1)");
}
