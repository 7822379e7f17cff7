//! The service that a replica offers to the other instances.

use std::{
    net::SocketAddr,
    rc::{Rc, Weak},
};

use tarpc::context::Context;

use super::{Inner, driver::Driver};
use crate::protocol::wire::peer::{self, Hello, Message, SnapshotChunk, Standing};

/// Passes the calls of other instances to the driver. It does not keep the replica alive.
#[derive(Clone)]
pub(super) struct Server(Weak<Inner>);

impl Server {
    pub fn new(inner: &Rc<Inner>) -> Server {
        Server(Rc::downgrade(inner))
    }

    /// Returns `None` if the replica is gone.
    fn call<T>(&self, call: impl FnOnce(&Driver) -> T) -> Option<T> {
        self.0.upgrade()?.driver.as_ref().map(call)
    }
}

impl peer::Service for Server {
    async fn step(self, _: Context, sender: SocketAddr, message: Message) {
        self.call(|driver| driver.receive(sender, message));
    }

    async fn hello(self, _: Context, hello: Hello) -> Option<Standing> {
        self.call(|driver| driver.receive_hello(hello)).flatten()
    }

    async fn snapshot_chunk(self, _: Context, chunk: SnapshotChunk) -> bool {
        self.call(|driver| driver.receive_chunk(chunk)).unwrap_or(false)
    }
}
