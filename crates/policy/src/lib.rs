//! Every decision of sedgerun: which backend gets a request, when it is sent, whether it is retried, and what
//! load is shed.
//!
//! A head builds [`Settings`] at startup, creates a [`Controller`] from them, and passes it one [`Event`] at
//! a time with the time of the head's own clock. For each event the controller appends the [`Action`]s that
//! the head has to carry out. The crate does no I/O and reads no clock.
//!
//! | question | module |
//! | --- | --- |
//! | What happens on an event, step by step? | `controller` |
//! | Which backend is a request queued at? | `selection` |
//! | Which request is sent next, and when? | `scheduling`, `queue`, `key_order` |
//! | How much load may a backend be sent? | `backend`: its rate, concurrency limit, health, slow start |
//! | How is a backend's rate set? | [`regulator`] (the self-tuning regulator of the Triage paper) |
//! | How is that rate divided among volumes? | `quota` (reservations, limits), [`fair_share`] |
//! | Which requests are admitted, which are shed, and when? | `admission` |
//! | Is a request retried? | `retry` |
//! | What does the controller learn from the outcome of an attempt? | `outcome` |
//! | What does it learn from the transfer of a response? | `transfer` |
//! | What does an endpoint list update change, and when is the list polled? | `endpoints` |

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
mod transfer;

pub use action::Action;
pub use controller::Controller;
pub use event::{AttemptEnd, AttemptOutcome, Endpoint, Event, Readiness, Request, UpdateScope};
pub use settings::{
    DeduplicationScope, Idempotency, Permissions, RequestClass, RetryBudgetLimits, Rules, ServicePlan,
    Settings, SlowStartLimits,
};

/// A point in time or a duration on the head's clock, in microseconds.
pub type Micros = u64;

const SECOND: Micros = 1_000_000;

/// Identifies a backend. The value is opaque.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u64);

/// Identifies a request; unique for the lifetime of a controller.
pub type RequestId = u32;
