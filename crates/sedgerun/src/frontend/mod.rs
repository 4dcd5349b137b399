//! The server side: receives requests from clients over HTTP/1.1 or 9P2000 and submits them to the
//! dispatcher.
//!
//! A front end owns its client connections and their state; attempts at backends are made by the dispatch
//! service.

pub mod http;
pub mod ninep;
