//! Recorded bytes: lines `section.name hexbytes` of a text file, which tests compare and never write.

use std::collections::BTreeMap;

/// Bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes that hexadecimal digits stand for.
pub fn unhex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

/// The recorded lines of one section, and what does not agree with them.
pub struct Section {
    name: &'static str,
    lines: BTreeMap<&'static str, &'static str>,
    mismatches: Vec<String>,
}

impl Section {
    /// The section of this name in a recorded text.
    pub fn open(text: &'static str, name: &'static str) -> Section {
        let lines = text.lines().filter_map(|line| line.split_once(' '));
        let lines = lines.filter(|(key, _)| key.split('.').next() == Some(name)).collect();
        Section { name, lines, mismatches: Vec::new() }
    }

    /// Compares bytes with the line of this name, which is used up; the recorded bytes, where there are any.
    pub fn compare(&mut self, name: &str, written: &[u8]) -> Option<Vec<u8>> {
        let key = format!("{}.{name}", self.name);
        let recorded = self.lines.remove(key.as_str()).map(unhex);
        if recorded.as_deref() != Some(written) {
            self.mismatches.push(format!("{key} {}", hex(written)));
        }
        recorded
    }

    /// Fails where anything was not as recorded, or a recorded line was not compared.
    pub fn close(self) {
        let written = self.mismatches.join("\n");
        assert!(written.is_empty(), "not as recorded; written now:\n{written}");
        assert!(self.lines.is_empty(), "recorded, and written no more: {:?}", self.lines.keys());
    }
}

/// Fails where a line is in none of these sections, or in a section twice.
pub fn assert_sections(text: &str, sections: &[&str]) {
    let mut keys = Vec::new();
    for line in text.lines() {
        let (key, _) = line.split_once(' ').expect("a name and bytes");
        assert!(sections.contains(&key.split('.').next().unwrap_or_default()), "{key}");
        assert!(!keys.contains(&key), "{key} is recorded twice");
        keys.push(key);
    }
}
