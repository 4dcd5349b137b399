//! A storage gateway head that keeps volumes to their reservations, shares and limits.
//!
//! [`api`] holds the plain types that go in and come out, [`control`] every decision, [`exchange`] the
//! core round it, which knows neither sockets nor clocks. [`wire`] is a codec for one simulator's frames.
//! The rest meets the outside: [`front`] takes requests, [`back`] makes attempts, [`discovery`] watches the
//! list, and [`head`] runs them all.
//!
#![doc = include_str!("../README.md")]

pub mod admin;
pub mod api;
pub mod back;
pub mod clock;
pub mod config;
pub mod control;
pub mod discovery;
pub mod exchange;
pub mod front;
pub mod head;
pub mod hub;
pub mod ids;
pub mod ninep;
pub mod tenants;
pub mod vrrp;
pub mod wire;

pub use api::{Action, Event, Settings};
pub use control::Controller;
