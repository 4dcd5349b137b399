//! The operator's file in its two forms. S-expressions are read as the pairs that the older form is made of, so that
//! both meet the same checks; [`write()`] converts the older form.

use crate::fault::Faults;
use crate::form::Form;
use crate::pairs::Pairs;

/// What begins a comment in S-expressions, and in the older form.
const COMMENT: char = ';';
const OLDER_COMMENT: char = '#';
/// The sections that are not lists, in the order in which they are written.
const SECTIONS: [&str; 3] = ["ninep", "admin", "vrrp"];

/// Whether a text is in the form of S-expressions: its first line that is neither blank nor a comment begins with a
/// bracket.
pub fn is_forms(text: &str) -> bool {
    let is_content = |line: &&str| !line.is_empty() && !line.starts_with([COMMENT, OLDER_COMMENT]);
    text.lines().map(str::trim).find(is_content).is_some_and(|line| line.starts_with('('))
}

/// Reads the operator's file in either form.
pub fn read(text: &str) -> Result<Pairs, Faults> {
    let mut lines = text.lines().map(str::trim);
    let is_blank = lines.all(|line| line.is_empty() || line.starts_with(COMMENT));
    if !is_forms(text) && !is_blank {
        return Pairs::read(text);
    }
    let mut reader = FormsReader::default();
    Form::read(text)?.iter().for_each(|form| reader.section(form));
    reader.finish()
}

/// Turns forms into pairs; counts the items of the lists.
#[derive(Default)]
struct FormsReader {
    pairs: Pairs,
    exports: u32,
    backends: u32,
}

impl FormsReader {
    fn finish(mut self) -> Result<Pairs, Faults> {
        self.pairs.insert("exports.count", &self.exports.to_string(), None);
        self.pairs.insert("boxes.count", &self.backends.to_string(), None);
        self.pairs.finish(())?;
        Ok(self.pairs)
    }

    /// Reads a form that is not within another.
    fn section(&mut self, form: &Form) {
        match form.name.as_str() {
            "tenant" => self.tenant(form),
            "box" => {
                self.list_item(&format!("boxes.{}.", self.backends), "id", form);
                self.backends += 1;
            }
            section => {
                let prefix = format!("{section}.");
                self.pairs.set_form_place(&prefix, form.place);
                self.fields(&prefix, form);
            }
        }
    }

    fn tenant(&mut self, form: &Form) {
        let tenant = form.atoms().next().map(|(name, _)| name).unwrap_or_default();
        for export in form.forms() {
            if export.name != "export" {
                self.pairs.set_form_place("", export.place);
                self.pairs.fault("", format!("form {} within tenant is unknown", export.name));
                continue;
            }
            let prefix = format!("exports.{}.", self.exports);
            self.exports += 1;
            self.pairs.insert(&format!("{prefix}tenant"), tenant, Some(form.place));
            self.list_item(&prefix, "name", export);
        }
    }

    /// Reads an item of a list, a form whose first atom is the value of its key `name`.
    fn list_item(&mut self, prefix: &str, name: &str, form: &Form) {
        self.pairs.set_form_place(prefix, form.place);
        if let Some((text, place)) = form.atoms().next() {
            self.pairs.insert(&format!("{prefix}{name}"), text, Some(place));
        }
        self.fields(prefix, form);
    }

    /// Reads the fields of a form, each a form of its own; several values are joined by commas.
    fn fields(&mut self, prefix: &str, form: &Form) {
        for field in form.forms() {
            let key = format!("{prefix}{}", camel_case(&field.name));
            if self.pairs.text(&key).is_some() {
                self.pairs.set_form_place(&key, field.place);
                self.pairs.fault(&key, format!("setting {key} is there twice"));
            }
            let values: Vec<&str> = field.atoms().map(|(value, _)| value).collect();
            self.pairs.insert(&key, &values.join(","), Some(field.place));
        }
    }
}

/// `read-class` as `readClass`.
fn camel_case(name: &str) -> String {
    let mut words = name.split('-');
    let first = words.next().unwrap_or_default().to_owned();
    words.fold(first, |mut camel, word| {
        let mut letters = word.chars();
        camel.extend(letters.next().map(|letter| letter.to_ascii_uppercase()));
        camel.extend(letters);
        camel
    })
}

/// `readClass` as `read-class`.
fn kebab_case(name: &str) -> String {
    name.chars().fold(String::new(), |mut kebab, letter| {
        if letter.is_ascii_uppercase() {
            kebab.push('-');
        }
        kebab.push(letter.to_ascii_lowercase());
        kebab
    })
}

/// Writes pairs as S-expressions: what [`read`] makes the same pairs of.
pub fn write(pairs: &Pairs) -> String {
    let mut text = String::new();
    for section in SECTIONS {
        let fields = fields_text(pairs, &format!("{section}."), &[], "  ");
        if !fields.is_empty() {
            text += &format!("({section}{fields})\n");
        }
    }
    for index in 0..list_length(pairs, "exports") {
        let prefix = format!("exports.{index}.");
        let tenant = values_text(pairs, &format!("{prefix}tenant"));
        let name = values_text(pairs, &format!("{prefix}name"));
        let fields = fields_text(pairs, &prefix, &["tenant", "name"], "    ");
        text += &format!("(tenant{tenant}\n  (export{name}{fields}))\n");
    }
    for index in 0..list_length(pairs, "boxes") {
        let prefix = format!("boxes.{index}.");
        let id = values_text(pairs, &format!("{prefix}id"));
        text += &format!("(box{id}{})\n", fields_text(pairs, &prefix, &["id"], "  "));
    }
    text
}

fn list_length(pairs: &Pairs, list: &str) -> u32 {
    pairs.text(&format!("{list}.count")).and_then(|count| count.parse().ok()).unwrap_or(0)
}

/// The values of a key, each as an atom behind a space.
fn values_text(pairs: &Pairs, key: &str) -> String {
    let values = pairs.text(key).unwrap_or_default().split(',');
    values.map(|value| format!(" {}", atom(value.trim()))).collect()
}

/// The keys under a prefix, but those to skip, each as a form on a line of its own.
fn fields_text(pairs: &Pairs, prefix: &str, skip: &[&str], indent: &str) -> String {
    let names = pairs.keys().filter_map(|key| key.strip_prefix(prefix)).filter(|name| !skip.contains(name));
    let field = |name: &str| {
        let values = values_text(pairs, &format!("{prefix}{name}"));
        format!("\n{indent}({}{values})", kebab_case(name))
    };
    names.map(field).collect()
}

/// A value as an atom: plain where it reads back as the same text, quoted where it does not.
fn atom(value: &str) -> String {
    let is_symbol = value.starts_with(|first: char| first.is_ascii_alphabetic())
        && value.chars().all(|letter| letter.is_ascii_alphanumeric() || letter == '-' || letter == '_');
    let is_number = value.parse::<u32>().is_ok_and(|number| number.to_string() == value);
    if is_symbol || is_number { value.to_owned() } else { lexpr::Value::string(value).to_string() }
}
