//! The idle connections to one address.

use super::connection::Connection;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay between the end of a response and the reuse of its connection.
///
/// Some backends close the connection right after a response. A write that is sent on it before this head detects the
/// close fails, and may or may not have run.
const REUSE_DELAY: Duration = Duration::from_millis(5);
/// The fraction of a backend's idle timeout for which an idle connection may be reused. A request written while the
/// backend closes the connection would be reset.
const USABLE_IDLE_FRACTION: f64 = 0.6;

/// The idle connections to one address, which close when this is dropped.
#[derive(Debug)]
pub struct IdleConnections {
    /// With the time since which each is idle, in that order.
    idle: RefCell<VecDeque<(Instant, Connection)>>,
    usable_time: Duration,
}

impl IdleConnections {
    /// No connections to an address whose server closes an idle one after `idle_timeout`.
    pub fn new(idle_timeout: Duration) -> Rc<IdleConnections> {
        let usable_time = idle_timeout.mul_f64(USABLE_IDLE_FRACTION);
        Rc::new(IdleConnections { idle: RefCell::default(), usable_time })
    }

    /// The connection that has been idle for the longest, if one is usable: whatever its backend still sends behind the
    /// last response has had the most time to arrive.
    pub fn take(&self) -> Option<Connection> {
        loop {
            let (since, connection) = self.idle.borrow_mut().pop_front()?;
            if since.elapsed() < self.usable_time && connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Adds a connection behind a complete response, after `REUSE_DELAY`. It closes if anything arrives that no
    /// request was sent for, or if the connections were dropped in the meantime.
    pub fn put(self: &Rc<Self>, mut connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        connection.received.release();
        let connections = Rc::downgrade(self);
        actix_rt::spawn(async move {
            tokio::time::sleep(REUSE_DELAY).await;
            let Some(connections) = connections.upgrade() else { return };
            if connection.is_reusable() {
                connections.idle.borrow_mut().push_back((Instant::now(), connection));
            }
        });
    }

    /// Closes the connections that cannot be used any more.
    pub fn close_unusable(&self) {
        let usable_time = self.usable_time;
        self.idle
            .borrow_mut()
            .retain(|(since, connection)| since.elapsed() < usable_time && connection.is_reusable());
    }
}
