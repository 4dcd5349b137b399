//! Serves 9P at the virtual addresses of a head's virtual router, for as long as the router is active.

use crate::config::Config;
use crate::frontend::http::bind;
use crate::frontend::ninep::NinePFrontend;
use crate::vrrp::VrrpRunner;
use sedgerun_vrrp::State;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// Time between tries to bind an address that another head may still hold.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The virtual addresses of a head, and the tasks that serve at them.
pub(super) struct VirtualAddresses {
    vrrp: Rc<VrrpRunner>,
    ninep: Rc<NinePFrontend>,
    addresses: Vec<SocketAddr>,
    /// Addresses that are to be served and could not be bound yet.
    unbound: Vec<SocketAddr>,
    serving: Vec<AbortHandle>,
}

impl VirtualAddresses {
    /// The virtual addresses of a configuration; none are served yet.
    pub fn new(vrrp: Rc<VrrpRunner>, ninep: Rc<NinePFrontend>, config: &Config) -> VirtualAddresses {
        let setup = config.operator.vrrp.iter();
        let addresses = setup.flat_map(|setup| {
            let addresses = setup.router.addresses.iter();
            addresses.map(|address| SocketAddr::new((*address).into(), setup.port))
        });
        let addresses = addresses.collect();
        VirtualAddresses { vrrp, ninep, addresses, unbound: Vec::new(), serving: Vec::new() }
    }

    /// Follows the state of the virtual router until it has stopped.
    pub async fn run(mut self) {
        let mut was_active = false;
        loop {
            let is_active = self.vrrp.state() == State::Active;
            if is_active && !was_active {
                self.unbound.clone_from(&self.addresses);
            }
            if !is_active {
                self.stop_serving();
            }
            was_active = is_active;
            self.bind_unbound().await;
            let still_closing = !is_active && self.ninep.shared_count() > 0;
            if !self.unbound.is_empty() || still_closing {
                tokio::time::sleep(RETRY_INTERVAL).await;
            } else if self.vrrp.stopped() {
                return;
            } else {
                self.vrrp.changed.notified().await;
            }
        }
    }

    fn stop_serving(&mut self) {
        self.unbound.clear();
        self.serving.drain(..).for_each(|task| task.abort());
        self.ninep.close_idle(false);
    }

    /// Serves at the addresses that can be bound. The router that was active before may still hold one for a
    /// moment.
    async fn bind_unbound(&mut self) {
        for address in std::mem::take(&mut self.unbound) {
            match bind(address) {
                Ok(listener) => {
                    let task = actix_rt::spawn(Rc::clone(&self.ninep).serve(listener, true));
                    self.serving.push(task.abort_handle());
                }
                Err(_) => self.unbound.push(address),
            }
        }
    }
}
