//! Recorded encodings: a text file with lines of the form `section.name hexbytes`. Tests compare values with
//! it and never write it.

use std::collections::BTreeMap;

/// Bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal digits.
pub fn unhex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

/// The recorded lines of one section that are not yet compared, and the mismatches found so far.
pub struct Section {
    name: &'static str,
    lines: BTreeMap<&'static str, &'static str>,
    mismatches: Vec<String>,
}

impl Section {
    /// The section with this name in a recorded text.
    pub fn open(text: &'static str, name: &'static str) -> Section {
        let lines = text.lines().filter_map(|line| line.split_once(' '));
        let lines = lines.filter(|(key, _)| key.split('.').next() == Some(name)).collect();
        Section { name, lines, mismatches: Vec::new() }
    }

    /// Compares bytes with the recorded line of this name and removes the line. Returns the recorded bytes,
    /// if there are any.
    pub fn compare(&mut self, name: &str, written: &[u8]) -> Option<Vec<u8>> {
        let key = format!("{}.{name}", self.name);
        let recorded = self.lines.remove(key.as_str()).map(unhex);
        if recorded.as_deref() != Some(written) {
            self.mismatches.push(format!("{key} {}", hex(written)));
        }
        recorded
    }

    /// Fails if any value differed from its line, or if a recorded line was not compared.
    pub fn close(self) {
        let written = self.mismatches.join("\n");
        assert!(written.is_empty(), "encodings differ from the recorded ones; now encoded as:\n{written}");
        assert!(self.lines.is_empty(), "recorded lines without a value: {:?}", self.lines.keys());
    }
}

/// Fails if a line belongs to none of these sections, or is recorded twice.
pub fn assert_sections(text: &str, sections: &[&str]) {
    let mut keys = Vec::new();
    for line in text.lines() {
        let (key, _) = line.split_once(' ').expect("a name and bytes");
        assert!(sections.contains(&key.split('.').next().unwrap_or_default()), "{key}");
        assert!(!keys.contains(&key), "{key} is recorded twice");
        keys.push(key);
    }
}
