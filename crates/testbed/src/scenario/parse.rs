//! Reads a scenario file: one form `(scenario NAME ...)` of settings and of the script.

use super::{ClassSpec, PlanSpec, Scenario};
use crate::script::parse::{ScriptContext, parse_steps};
use sedgerun_config::{Faults, Form, Item, Place};
use sedgerun_policy::Micros;

impl Scenario {
    /// Reads a scenario; all faults in it are returned together, each with key, line and column.
    pub fn read(text: &str) -> Result<Scenario, Faults> {
        let forms = Form::read(text)?;
        let form = only_form(&forms)?;
        let mut faults = Faults::default();
        let mut scenario = Scenario::default();
        match form.atoms().next() {
            Some((name, _)) => scenario.name = name.to_owned(),
            None => faults.0.extend(Faults::one("scenario", "a scenario has a name", Some(form.place)).0),
        }
        // Settings first, whatever their place: the script is checked against them.
        let is_script = |form: &&Form| matches!(form.name.as_str(), "at" | "between");
        for part in form.forms().filter(|part| !is_script(part)) {
            scenario.read_part(part, "", &mut faults);
        }
        for part in form.forms().filter(is_script) {
            match parse_steps(part, &scenario.script_context()) {
                Ok(steps) => scenario.steps.extend(steps),
                Err(found) => faults.0.extend(found.0),
            }
        }
        scenario.steps.sort_by_key(|step| step.at);
        if faults.0.is_empty() { Ok(scenario) } else { Err(faults) }
    }

    fn script_context(&self) -> ScriptContext<'_> {
        ScriptContext {
            duration: (self.seconds * 1e6) as Micros,
            backends: self.backends,
            heads: self.heads,
            classes: self.classes.iter().map(|class| class.name.as_str()).collect(),
            plans: self.plans.iter().map(|plan| plan.name.as_str()).collect(),
        }
    }

    /// Reads `(key value...)`, or a section `(box (key value...) ...)`, or `(class NAME (key value...) ...)`.
    fn read_part(&mut self, form: &Form, prefix: &str, faults: &mut Faults) {
        let key = format!("{prefix}{}", form.name);
        if form.items.iter().all(|item| matches!(item, Item::Atom(..))) && self.has_setting(&key) {
            let values: Vec<&str> = form.atoms().map(|(value, _)| value).collect();
            if let Err(error) = self.set(&key, &values) {
                faults.0.extend(Faults::one(&key, error.to_string(), Some(form.place)).0);
            }
            return;
        }
        let Some(section) = self.section_prefix(form, prefix) else {
            let what = format!("setting {key} is unknown");
            faults.0.extend(Faults::one(&key, what, Some(form.place)).0);
            return;
        };
        form.forms().for_each(|part| self.read_part(part, &section, faults));
    }

    /// What the keys of a section begin with; none where the form is no section. A class or plan that is not there
    /// yet is made after the first one, without any share.
    fn section_prefix(&mut self, form: &Form, prefix: &str) -> Option<String> {
        match (prefix, form.name.as_str(), form.atoms().next()) {
            ("", "class", Some((name, _))) => {
                if !self.classes.iter().any(|class| class.name == name) {
                    let like = self.classes[0].clone();
                    self.classes.push(ClassSpec { name: name.to_owned(), share: 0.0, ..like });
                }
                Some(format!("class.{name}."))
            }
            ("", "plan", Some((name, _))) => {
                if !self.plans.iter().any(|plan| plan.name == name) {
                    let like = self.plans[0].clone();
                    self.plans.push(PlanSpec { name: name.to_owned(), share: 0.0, ..like });
                }
                Some(format!("plan.{name}."))
            }
            ("", section, None)
                if matches!(section, "box" | "network" | "registry" | "clients" | "traffic" | "rules") =>
            {
                Some(format!("{section}."))
            }
            _ => None,
        }
    }
}

/// The one form of a scenario file.
fn only_form(forms: &[Form]) -> Result<&Form, Faults> {
    let [form] = forms else {
        let place = forms.get(1).map_or(Place { line: 1, column: 1 }, |form| form.place);
        return Err(Faults::one("scenario", "a script is one form: (scenario NAME ...)", Some(place)));
    };
    if form.name != "scenario" {
        let what = format!("form {} is unknown: a script is one form: (scenario NAME ...)", form.name);
        return Err(Faults::one(&form.name, what, Some(form.place)));
    }
    Ok(form)
}
