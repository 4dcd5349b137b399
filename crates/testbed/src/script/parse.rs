//! Reads the steps of a script from its `(at ...)` and `(between ...)` forms, with the place of each fault.

use super::{ScriptAction, ScriptStep, TargetSelection};
use sedgerun_config::{Faults, Form, Place};
use sedgerun_policy::Micros;

/// The longest time in a script, s.
const MAX_SECONDS: f64 = 3600.0;
/// The step's form is known by its place: lines count so much, columns 1.
const LINE_WEIGHT: usize = 1000;

/// What the steps of a script may refer to.
#[derive(Clone, Debug)]
pub struct ScriptContext<'a> {
    /// The length of the scenario, us.
    pub duration: Micros,
    /// How many backends there are.
    pub backends: u64,
    /// How many heads there are.
    pub heads: u64,
    /// Names of the classes of requests, in their order.
    pub classes: Vec<&'a str>,
    /// Names of the plans of volumes, in their order.
    pub plans: Vec<&'a str>,
}

/// What begins an action, and what ends one that lasts.
type ActionPair = (ScriptAction, Option<ScriptAction>);

/// Reads an `(at ...)` or a `(between ...)` form; all faults in it are returned together.
pub fn parse_steps(form: &Form, context: &ScriptContext<'_>) -> Result<Vec<ScriptStep>, Faults> {
    let (from, to) = parse_times(form)?;
    if from > context.duration || to.is_some_and(|to| to > context.duration) {
        return Err(Faults::one(&form.name, "lies behind the end of the scenario", Some(form.place)));
    }
    let mut faults = Faults::default();
    let mut steps = Vec::new();
    for action in form.forms() {
        let mut fields = ActionFields { form: action, context, used: Vec::new(), faults: Faults::default() };
        let parsed = parse_action(&mut fields, to.is_some());
        faults.0.extend(fields.finish().0);
        let Some((begin, end)) = parsed else {
            let what = format!("{} is no act that stands in {}", action.name, form.name);
            faults.0.extend(Faults::one(&action.name, what, Some(action.place)).0);
            continue;
        };
        let position = action.place.line * LINE_WEIGHT + action.place.column;
        let label = action.name.clone();
        steps.push(ScriptStep { at: from, action: begin, label: label.clone(), form: position });
        if let (Some(to), Some(action)) = (to, end) {
            steps.push(ScriptStep { at: to, action, label: format!("{label} ends"), form: position });
        }
    }
    if faults.0.is_empty() { Ok(steps) } else { Err(faults) }
}

fn parse_seconds(text: &str) -> Option<Micros> {
    let value: f64 = text.parse().ok()?;
    (0.0..=MAX_SECONDS).contains(&value).then_some((value * 1e6) as Micros)
}

/// The time of an `at`, or the two of a `between`.
fn parse_times(form: &Form) -> Result<(Micros, Option<Micros>), Faults> {
    let times: Vec<(Option<Micros>, Place)> =
        form.atoms().map(|(text, place)| (parse_seconds(text), place)).collect();
    match (form.name.as_str(), times.as_slice()) {
        ("at", [(Some(at), _)]) => Ok((*at, None)),
        ("between", [(Some(from), _), (Some(to), _)]) if from <= to => Ok((*from, Some(*to))),
        (_, times) => {
            let invalid = times.iter().find(|(time, _)| time.is_none());
            let place = invalid.map_or(form.place, |(_, place)| *place);
            let what = "at takes one time and between two that rise, in seconds of 0 to 3600";
            Err(Faults::one(&form.name, what, Some(place)))
        }
    }
}

/// Reads the fields of one action, and collects what is wrong with them.
struct ActionFields<'a> {
    form: &'a Form,
    context: &'a ScriptContext<'a>,
    used: Vec<&'static str>,
    faults: Faults,
}

impl<'a> ActionFields<'a> {
    fn fault(&mut self, key: &str, what: String, place: Place) {
        let key = format!("{}.{key}", self.form.name);
        self.faults.0.extend(Faults::one(&key, format!("{key} {what}"), Some(place)).0);
    }

    fn field(&mut self, name: &'static str) -> Option<&'a Form> {
        self.used.push(name);
        self.form.forms().find(|field| field.name == name)
    }

    /// A number within bounds; `default` where the field is absent, and a fault where there is none.
    fn number(&mut self, name: &'static str, least: f64, most: f64, default: Option<f64>) -> f64 {
        let Some(field) = self.field(name) else {
            if default.is_none() {
                self.fault(name, "is missing".into(), self.form.place);
            }
            return default.unwrap_or(least);
        };
        match field.atoms().next().and_then(|(text, _)| text.parse::<f64>().ok()) {
            Some(value) if (least..=most).contains(&value) => value,
            _ => {
                self.fault(name, format!("is no figure of {least} to {most}"), field.place);
                least
            }
        }
    }

    fn micros(&mut self, name: &'static str, unit: f64, default: Option<f64>) -> Micros {
        (self.number(name, 0.0, MAX_SECONDS * 1e3, default) * unit) as Micros
    }

    fn backends(&mut self) -> TargetSelection {
        self.targets("boxes", self.context.backends)
    }

    /// `(boxes all)`, `(boxes 1 2 3)` or `(boxes (share 0.2))`, and the same for heads.
    fn targets(&mut self, name: &'static str, count: u64) -> TargetSelection {
        let Some(field) = self.field(name) else {
            self.fault(name, "is missing".into(), self.form.place);
            return TargetSelection::Fraction(1.0);
        };
        if let Some(share) = field.forms().next() {
            let part = share.atoms().next().and_then(|(text, _)| text.parse::<f64>().ok());
            match part.filter(|part| (0.0..=1.0).contains(part) && share.name == "share") {
                Some(part) => return TargetSelection::Fraction(part),
                None => self.fault(name, "takes all, numbers, or (share 0 to 1)".into(), share.place),
            }
        }
        let mut numbers = Vec::new();
        for (text, place) in field.atoms() {
            match text.parse::<usize>() {
                _ if text == "all" => return TargetSelection::Fraction(1.0),
                Ok(number) if (number as u64) < count => numbers.push(number),
                _ => self.fault(name, format!("has no {text}: there are 0 to {}", count - 1), place),
            }
        }
        if numbers.is_empty() && field.forms().next().is_none() {
            self.fault(name, "names none".into(), field.place);
        }
        TargetSelection::Numbers(numbers)
    }

    /// The position of a name among those known.
    fn name_position(&mut self, name: &'static str, known: &[&str]) -> Option<usize> {
        let field = self.field(name)?;
        let (text, place) = field.atoms().next().unwrap_or(("", field.place));
        let found = known.iter().position(|known| *known == text);
        if found.is_none() {
            self.fault(name, format!("is none of {}: {text}", known.join(", ")), place);
        }
        found
    }

    /// All faults, with those of fields that the action does not have.
    fn finish(mut self) -> Faults {
        for field in self.form.forms() {
            if !self.used.contains(&field.name.as_str()) {
                self.fault(&field.name.clone(), "is unknown".into(), field.place);
            }
        }
        self.faults
    }
}

/// Reads one action of an `at` or, where it `lasts`, of a `between`; none where the action cannot stand there.
fn parse_action(fields: &mut ActionFields<'_>, lasts: bool) -> Option<ActionPair> {
    match fields.form.name.as_str() {
        "cost" | "swell" | "burst" => lasts.then(|| parse_traffic_action(fields)).flatten(),
        "lag" | "registry-down" => lasts.then(|| parse_discovery_action(fields)).flatten(),
        "kill" if !lasts => {
            let which = fields.targets("heads", fields.context.heads);
            let restart_after = fields.micros("for-s", 1e6, Some(1.0));
            Some((ScriptAction::KillHead(which, restart_after), None))
        }
        _ => parse_backend_action(fields, lasts),
    }
}

fn parse_backend_action(fields: &mut ActionFields<'_>, lasts: bool) -> Option<ActionPair> {
    Some(match (fields.form.name.as_str(), lasts) {
        ("slow", true) => {
            let which = fields.backends();
            let times = fields.number("times", 0.01, 1000.0, None);
            (ScriptAction::Slow(which.clone(), times), Some(ScriptAction::Slow(which, 1.0)))
        }
        ("die", _) => {
            let which = fields.backends();
            (ScriptAction::Die(which.clone()), Some(ScriptAction::Start(which)))
        }
        ("cold", false) => (ScriptAction::Restart(fields.backends()), None),
        ("drain", _) => {
            let which = fields.backends();
            (ScriptAction::Drain(which.clone()), Some(ScriptAction::Ready(which)))
        }
        ("replace", false) => {
            let which = fields.backends();
            (ScriptAction::Replace(which, fields.micros("after-s", 1e6, Some(3.0))), None)
        }
        ("silent", true) => {
            let which = fields.backends();
            (ScriptAction::Silence(which.clone(), true), Some(ScriptAction::Silence(which, false)))
        }
        ("pause", false) => {
            let which = fields.backends();
            (ScriptAction::Pause(which, fields.micros("ms", 1e3, None)), None)
        }
        _ => return None,
    })
}

fn parse_discovery_action(fields: &mut ActionFields<'_>) -> Option<ActionPair> {
    Some(match fields.form.name.as_str() {
        "lag" => (ScriptAction::ListDelay(fields.micros("s", 1e6, None)), Some(ScriptAction::ListDelay(0))),
        "registry-down" => (ScriptAction::DiscoveryDown(true), Some(ScriptAction::DiscoveryDown(false))),
        _ => return None,
    })
}

fn parse_traffic_action(fields: &mut ActionFields<'_>) -> Option<ActionPair> {
    let context = fields.context;
    Some(match fields.form.name.as_str() {
        "cost" => {
            let class = fields.name_position("class", &context.classes).unwrap_or(0);
            let part = fields.number("share", 0.0, 1.0, None);
            let times = fields.number("times", 0.0, 1000.0, None);
            let end = ScriptAction::Cost { class, part: 0.0, times: 1.0 };
            (ScriptAction::Cost { class, part, times }, Some(end))
        }
        "swell" => {
            let times = fields.number("times", 0.0, 100.0, None);
            (ScriptAction::Swell(times), Some(ScriptAction::Swell(1.0)))
        }
        "burst" => {
            let plan = fields.name_position("plan", &context.plans);
            let volumes = fields.number("volumes", 0.0, 100_000.0, Some(1.0)) as usize;
            let times = fields.number("times", 0.0, 1000.0, None);
            let end = ScriptAction::Burst { plan, volumes, times: 1.0 };
            (ScriptAction::Burst { plan, volumes, times }, Some(end))
        }
        _ => return None,
    })
}
