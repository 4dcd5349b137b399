//! Every decision of sedgerun: which backend gets a request, when it is sent, whether it is retried, and what
//! load is shed.
//!
//! A head builds [`Settings`] once, makes a [`Controller`] from them, and feeds it one [`Event`] at a time
//! with its own clock; each event adds [`Action`]s for the head to carry out. The crate has no I/O and no
//! clock.
//!
//! | question | module |
//! | --- | --- |
//! | What happens on an event, step by step? | `controller` |
//! | Which backend does a request wait for? | `selection` |
//! | Which request is sent next, and when? | `scheduling`, `queue`, `key_order` |
//! | How much may a backend be sent? | `backend`: its rate, concurrency limit, health, slow start |
//! | How is a backend's rate set? | [`regulator`] (Triage's self-tuning regulator) |
//! | How is that rate divided among volumes? | `quota` (reservations, limits), [`fair_share`] |
//! | What is admitted, what is shed, and when? | `admission` |
//! | Is a request retried? | `retry` |
//! | What does the end of an attempt tell? | `outcome` |
//! | What does the endpoint list change, and when is it polled? | `endpoints` |

mod action;
mod admission;
mod attempt;
mod backend;
mod controller;
mod endpoints;
mod event;
pub mod fair_share;
mod key_order;
mod outcome;
mod queue;
mod quota;
mod random;
pub mod regulator;
mod request;
mod retry;
mod scheduling;
mod selection;
mod settings;
mod timers;
mod token_bucket;

pub use action::Action;
pub use controller::Controller;
pub use event::{AttemptEnd, AttemptOutcome, Endpoint, Event, Readiness, Request, UpdateScope};
pub use settings::{
    DeduplicationScope, Idempotency, Permissions, RequestClass, RetryBudgetLimits, Rules, ServicePlan,
    Settings, SlowStartLimits,
};

/// A time or a span on the head's clock, in microseconds.
pub type Micros = u64;

/// One second of the head's clock.
const SECOND: Micros = 1_000_000;

/// The identity of a backend; its value carries no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u64);

/// The identity of a request, unique for the life of a controller.
pub type RequestId = u32;
