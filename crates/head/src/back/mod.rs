//! The client side: makes attempts at nodes, each over the wire that its job came in.

pub mod answer;
pub mod http;
pub mod ninep;
pub mod pool;

use crate::descriptors::Descriptors;
use bytes::Bytes;
use sedgerun_core::exchange::Ended;
use sedgerun_decide::api::{Micros, NodeId};
use sedgerun_ninep::Message;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// What a front hands through the exchange.
#[derive(Debug)]
pub enum Job {
    /// An HTTP request.
    Http(http::HttpJob),
    /// A 9P operation.
    Ninep(ninep::NinepJob),
}

/// What a node answered, in the wire of the job.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The body of a 200.
    Http(Bytes),
    /// The 9P reply.
    Ninep(Message),
}

/// Whether an attempt has begun: the first byte of its request was given to a connection. What has not can still
/// be called off, and has never run.
#[derive(Clone, Debug, Default)]
pub struct Begun(Rc<Cell<bool>>);

tokio::task_local! {
    /// The attempt that the running task makes.
    static ATTEMPT: Begun;
}

impl Begun {
    /// The attempt of this task begins now. A task without one, such as that of a list call, has nothing to note.
    pub fn mark() {
        let _ = ATTEMPT.try_with(|begun| begun.0.set(true));
    }

    /// Whether it has.
    pub fn get(&self) -> bool {
        self.0.get()
    }

    /// Makes this attempt.
    pub async fn of<T>(self, attempt: impl Future<Output = T>) -> T {
        ATTEMPT.scope(self, attempt).await
    }
}

/// The names that deployments give their nodes, as the numbers that the decisions use.
#[derive(Debug, Default)]
pub struct Names {
    numbers: RefCell<HashMap<Rc<str>, NodeId>>,
    names: RefCell<BTreeMap<NodeId, Rc<str>>>,
    last: Cell<u64>,
}

impl Names {
    /// The number of a name; the same name has the same one until it is forgotten.
    pub fn node(&self, name: &str) -> NodeId {
        if let Some(node) = self.find(name) {
            return node;
        }
        self.last.set(self.last.get() + 1);
        let (node, name) = (NodeId(self.last.get()), Rc::<str>::from(name));
        self.numbers.borrow_mut().insert(Rc::clone(&name), node);
        self.names.borrow_mut().insert(node, name);
        node
    }

    /// The number of a name that is in use; `None` for a name that nobody has.
    pub fn find(&self, name: &str) -> Option<NodeId> {
        self.numbers.borrow().get(name).copied()
    }

    /// The name of a number.
    pub fn name(&self, node: NodeId) -> Option<String> {
        self.names.borrow().get(&node).map(|name| name.to_string())
    }

    /// All numbers in use.
    pub fn all(&self) -> Vec<NodeId> {
        self.names.borrow().keys().copied().collect()
    }

    /// Forgets a number; its name, should it come back, gets a new one.
    fn forget(&self, node: NodeId) {
        if let Some(name) = self.names.borrow_mut().remove(&node) {
            self.numbers.borrow_mut().remove(&name);
        }
    }
}

/// The backs of all wires.
pub struct Backs {
    /// Numbers of nodes.
    pub names: Names,
    /// HTTP addresses of nodes.
    pub addresses: RefCell<BTreeMap<NodeId, SocketAddr>>,
    /// The HTTP client.
    pub http: http::HttpBack,
    /// The 9P client.
    pub ninep: ninep::NinepBack,
    descriptors: Descriptors,
}

impl Backs {
    /// Backs that know no node yet.
    pub fn new(http: http::HttpBack, ninep: ninep::NinepBack, descriptors: Descriptors) -> Backs {
        Backs { names: Names::default(), addresses: RefCell::default(), http, ninep, descriptors }
    }

    /// The program's descriptors.
    pub fn descriptors(&self) -> &Descriptors {
        &self.descriptors
    }

    /// Takes a node's HTTP address, where it has one; idle connections to the one it had before are closed.
    pub fn place(&self, node: NodeId, address: Option<SocketAddr>) {
        let before = match address {
            Some(address) => self.addresses.borrow_mut().insert(node, address),
            None => self.addresses.borrow_mut().remove(&node),
        };
        if let Some(before) = before.filter(|before| Some(*before) != address) {
            self.http.forget(before);
        }
    }

    /// Forgets a node that is no more. Its name, should it come back, gets a new number. Boxes that speak 9P
    /// stand in the operator's file and are never forgotten.
    pub fn forget(&self, node: NodeId) {
        self.place(node, None);
        self.names.forget(node);
    }

    /// Makes an attempt; `None` where the node cannot take this kind of job.
    pub async fn attempt(&self, node: NodeId, left: Micros, job: &Job) -> Option<Ended<Reply>> {
        match job {
            Job::Http(job) => {
                let address = self.addresses.borrow().get(&node).copied()?;
                Some(self.http.attempt(address, left, job).await)
            }
            Job::Ninep(job) => {
                let address = self.ninep.addresses.borrow().get(&node).copied()?;
                Some(self.ninep.attempt(node, address, job).await)
            }
        }
    }
}
