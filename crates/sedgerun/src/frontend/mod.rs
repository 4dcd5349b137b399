//! The server side: takes requests from clients, each over its own wire, and hands them to the dispatcher.
//!
//! A front end owns its client connections and whatever it keeps for them; it makes no attempts at backends itself.

pub mod http;
pub mod ninep;
