//! S-expressions as the settings use them: a form is a list that begins with its name and holds atoms and further
//! forms, each with its place. Parsed with lexpr; symbols, strings, numbers and booleans are all read as text.

use crate::fault::{Faults, Place};
use lexpr::datum::Ref;
use lexpr::{Parser, Value};

/// How deeply forms may be nested: settings need four levels.
const MAX_DEPTH: usize = 16;

/// A list that begins with a symbol.
#[derive(Clone, Debug, PartialEq)]
pub struct Form {
    /// Its first symbol.
    pub name: String,
    /// Where its list begins.
    pub place: Place,
    /// What follows.
    pub items: Vec<Item>,
}

/// A part of a form.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A symbol, string, number or boolean.
    Atom(String, Place),
    /// A form within.
    Form(Form),
}

impl Form {
    /// Reads all forms of a text. Comments begin with `;`. Fails with one fault and its place where the text is not
    /// made of forms.
    pub fn read(text: &str) -> Result<Vec<Form>, Faults> {
        let mut parser = Parser::from_str(text);
        let mut forms = Vec::new();
        while let Some(datum) = parser.next_datum().map_err(|error| syntax_fault(text, &error))? {
            match read_item(datum.as_ref(), 0)? {
                Item::Form(form) => forms.push(form),
                Item::Atom(atom, place) => {
                    let what = format!("{atom} stands outside of any form");
                    return Err(Faults::one(&atom, what, Some(place)));
                }
            }
        }
        Ok(forms)
    }

    /// Its atoms.
    pub fn atoms(&self) -> impl Iterator<Item = (&str, Place)> {
        self.items.iter().filter_map(|item| match item {
            Item::Atom(text, place) => Some((text.as_str(), *place)),
            Item::Form(_) => None,
        })
    }

    /// The forms within.
    pub fn forms(&self) -> impl Iterator<Item = &Form> {
        self.items.iter().filter_map(|item| match item {
            Item::Form(form) => Some(form),
            Item::Atom(..) => None,
        })
    }
}

/// The fault of a text that is not an S-expression; at its end where the parser gives no place.
fn syntax_fault(text: &str, error: &lexpr::parse::Error) -> Faults {
    let location = error.location().map(|at| Place { line: at.line(), column: at.column().max(1) });
    let place = location.unwrap_or_else(|| Place::of(text, text.len()));
    Faults::one("", format!("malformed S-expression: {error}"), Some(place))
}

fn place_of(datum: Ref<'_>) -> Place {
    let start = datum.span().start();
    Place { line: start.line(), column: start.column() + 1 }
}

fn fault_at(place: Place, what: &str) -> Faults {
    Faults::one("", what, Some(place))
}

fn read_item(datum: Ref<'_>, depth: usize) -> Result<Item, Faults> {
    let place = place_of(datum);
    if depth > MAX_DEPTH {
        return Err(fault_at(place, "forms stand too deep in each other"));
    }
    match datum.value() {
        Value::Symbol(text) | Value::String(text) => Ok(Item::Atom(text.to_string(), place)),
        Value::Keyword(text) => Ok(Item::Atom(format!(":{text}"), place)),
        Value::Number(number) => Ok(Item::Atom(number.to_string(), place)),
        Value::Bool(flag) => Ok(Item::Atom(flag.to_string(), place)),
        Value::Cons(_) => read_form(datum, depth).map(Item::Form),
        _ => Err(fault_at(place, "neither a form nor a plain value")),
    }
}

fn read_form(datum: Ref<'_>, depth: usize) -> Result<Form, Faults> {
    let place = place_of(datum);
    let mut parts = datum.list_iter().ok_or_else(|| fault_at(place, "a form is a list"))?;
    let first_item = parts.next().map(|part| read_item(part, depth + 1)).transpose()?;
    let Some(Item::Atom(name, _)) = first_item else {
        return Err(fault_at(place, "a form begins with its name"));
    };
    let mut items = Vec::new();
    // Where the last item ended, if that was an atom.
    let mut atom_end = None;
    for part in parts.by_ref() {
        let is_atom = part.list_iter().is_none();
        // Guards against reading `5x` as a 5 and an x.
        if is_atom && atom_end == Some(part.span().start()) {
            return Err(fault_at(place_of(part), "a space is missing between two values"));
        }
        items.push(read_item(part, depth + 1)?);
        atom_end = is_atom.then(|| part.span().end());
    }
    if !parts.is_empty() {
        return Err(fault_at(place, "a form has no dot in it"));
    }
    Ok(Form { name, place, items })
}
