//! Connections to the other control instances.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;

use crate::{
    error::{Error, Result},
    protocol::wire::peer::{Body, Hello, Message, ServiceClient, SnapshotChunk},
    transport::rpc,
};

/// Time for a peer to take a message.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Messages under way to one peer; further ones are dropped, as the protocol repeats them.
const IN_FLIGHT_MAX: usize = 1024;
/// Part of a snapshot in one message.
const CHUNK_BYTES: usize = 256 * 1024;

/// Connections by address.
#[derive(Default)]
pub(super) struct Peers {
    peers: RefCell<BTreeMap<SocketAddr, Rc<Peer>>>,
}

struct Peer {
    link: RefCell<Rc<rpc::Link<ServiceClient>>>,
    in_flight: Cell<usize>,
}

impl Peer {
    fn new(addr: SocketAddr) -> Rc<Peer> {
        Rc::new(Peer { link: RefCell::new(rpc::Link::new(addr)), in_flight: Cell::new(0) })
    }

    async fn call<T, F>(
        &self,
        step: &'static str,
        call: impl FnOnce(ServiceClient) -> F,
    ) -> Result<T>
    where
        F: Future<Output = Result<T, tarpc::client::RpcError>>,
    {
        let link = self.link.borrow().clone();
        let result = link.call(step, call).await;
        // After a partition a silent connection may stay stuck for as long as TCP backs off.
        if matches!(&result, Err(Error::Rpc { .. })) && Rc::ptr_eq(&link, &self.link.borrow()) {
            *self.link.borrow_mut() = rpc::Link::new(link.addr());
        }
        result
    }
}

impl Peers {
    fn peer(&self, addr: SocketAddr) -> Rc<Peer> {
        self.peers.borrow_mut().entry(addr).or_insert_with(|| Peer::new(addr)).clone()
    }

    /// Sends a message; it may be lost.
    pub fn send(&self, addr: SocketAddr, sender: SocketAddr, message: Message) {
        self.spawn(addr, "peer_step", async move |client: ServiceClient| {
            client.step(rpc::context(CALL_LIMIT), sender, message).await
        });
    }

    pub fn hello(&self, addr: SocketAddr, hello: Hello) {
        self.spawn(addr, "peer_hello", async move |client: ServiceClient| {
            client.hello(rpc::context(CALL_LIMIT), hello).await
        });
    }

    fn spawn<F>(
        &self,
        addr: SocketAddr,
        step: &'static str,
        call: impl FnOnce(ServiceClient) -> F + 'static,
    ) where
        F: Future<Output = Result<(), tarpc::client::RpcError>> + 'static,
    {
        let peer = self.peer(addr);
        if peer.in_flight.get() >= IN_FLIGHT_MAX {
            return;
        }
        peer.in_flight.set(peer.in_flight.get() + 1);
        actix_rt::spawn(async move {
            if let Err(e) = peer.call(step, call).await {
                log::debug!("event=peer_call_failed {e}");
            }
            peer.in_flight.set(peer.in_flight.get() - 1);
        });
    }

    /// Sends a snapshot in parts. `head` is its message without data.
    pub async fn snapshot(
        &self,
        addr: SocketAddr,
        sender: SocketAddr,
        head: Message,
        data: Bytes,
    ) -> bool {
        let peer = self.peer(addr);
        let mut offset = 0;
        loop {
            let part = data.slice(offset..data.len().min(offset + CHUNK_BYTES));
            let chunk = SnapshotChunk {
                sender,
                head: head.clone(),
                offset: offset as u64,
                total: data.len() as u64,
                data: part.clone(),
            };
            let sent = peer.call("peer_chunk", |client| async move {
                client.snapshot_chunk(rpc::context(CALL_LIMIT), chunk).await
            });
            if !matches!(sent.await, Ok(true)) {
                return false;
            }
            offset += part.len();
            if offset >= data.len() {
                return true;
            }
        }
    }
}

/// A snapshot that arrives in parts.
#[derive(Default)]
pub(super) struct Incoming {
    head: Option<Message>,
    data: Vec<u8>,
}

impl Incoming {
    /// Adds a part; the message once all have come. `Err` if the parts do not fit together.
    pub fn add(&mut self, chunk: SnapshotChunk) -> Result<Option<Message>, ()> {
        if chunk.offset == 0 {
            *self = Incoming { head: Some(chunk.head.clone()), data: Vec::new() };
        }
        if self.head.as_ref() != Some(&chunk.head) || self.data.len() as u64 != chunk.offset {
            return Err(());
        }
        self.data.extend_from_slice(&chunk.data);
        if (self.data.len() as u64) < chunk.total {
            return Ok(None);
        }
        let mut message = self.head.take().ok_or(())?;
        if let Body::Snapshot { data, .. } = &mut message.body {
            *data = Bytes::from(std::mem::take(&mut self.data));
        }
        Ok(Some(message))
    }
}
