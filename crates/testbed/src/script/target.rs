//! What a script acts on.

use sedgerun_policy::Micros;

/// What a script acts on: the simulator and the test bed on sockets. Backends are addressed by their position, heads
/// by their number.
pub trait ScriptTarget {
    /// How many positions of backends there are, and how many heads.
    fn size(&self) -> (usize, usize);
    /// A backend runs so many times slower.
    fn slow(&mut self, position: usize, times: f64);
    /// A backend's process ends, and the endpoint list removes it.
    fn die(&mut self, position: usize);
    /// A backend's process starts, and warms up.
    fn start(&mut self, position: usize);
    /// A backend's process ends and starts again a moment later under the same id, and warms up.
    fn restart(&mut self, position: usize);
    /// A backend drains, or is ready again.
    fn drain(&mut self, position: usize, is_draining: bool);
    /// A backend drains, and after a time (us) another takes its address.
    fn replace(&mut self, position: usize, after: Micros);
    /// A backend is cut off from the network, or is back.
    fn silence(&mut self, position: usize, is_silent: bool);
    /// A backend stalls for a time, us.
    fn pause(&mut self, position: usize, time: Micros);
    /// The endpoint list is delayed by so much more, us.
    fn delay_list(&mut self, delay: Micros);
    /// The discovery server is down, or back.
    fn set_discovery_down(&mut self, is_down: bool);
    /// A head is killed, and starts again after a time, us.
    fn kill_head(&mut self, head: usize, restart_after: Micros);
}
