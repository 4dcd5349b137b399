//! The names of a plan and of two classes that every head of a harness has: those of a scenario without settings.

use crate::scenario::Scenario;
use std::sync::OnceLock;

/// The names that the exports of a harness refer to.
pub struct DefaultNames {
    /// A plan.
    pub plan: String,
    /// A class of idempotent requests.
    pub read_class: String,
    /// A class of requests that are not.
    pub write_class: String,
}

/// The names of the first plan and classes.
pub fn default_names() -> &'static DefaultNames {
    static NAMES: OnceLock<DefaultNames> = OnceLock::new();
    NAMES.get_or_init(|| {
        let scenario = Scenario::default();
        let class = |is_idempotent: bool| {
            let class = scenario.classes.iter().find(|class| class.is_idempotent == is_idempotent);
            class.map(|class| class.name.clone()).unwrap_or_default()
        };
        let plan = scenario.plans.first().map(|plan| plan.name.clone()).unwrap_or_default();
        DefaultNames { plan, read_class: class(true), write_class: class(false) }
    })
}
