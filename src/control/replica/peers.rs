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
    protocol::wire::peer::{Body, Hello, Message, ServiceClient, SnapshotChunk, Standing},
    transport::rpc,
};

/// Time limit for the delivery of a message to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit for undelivered messages to one peer. Further messages are dropped; the consensus protocol
/// repeats them.
const MAX_IN_FLIGHT: usize = 1024;
/// Size of a snapshot chunk.
const CHUNK_BYTES: usize = 256 * 1024;

/// Connections to peers by address.
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
        // After a partition, a dead connection may hang for as long as TCP backs off, so a failed
        // call replaces it.
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

    /// Sends a message, which may get lost.
    pub fn send(&self, addr: SocketAddr, sender: SocketAddr, message: Message) {
        let call = async move |client: ServiceClient| {
            client.step(rpc::context(CALL_TIMEOUT), sender, message).await
        };
        self.spawn(addr, "peer_step", call, |()| {});
    }

    /// Sends an introduction and passes the answer, if one arrives, to `answered`.
    pub fn hello(&self, addr: SocketAddr, hello: Hello, answered: impl FnOnce(Standing) + 'static) {
        let call = async move |client: ServiceClient| {
            client.hello(rpc::context(CALL_TIMEOUT), hello).await
        };
        self.spawn(addr, "peer_hello", call, |standing: Option<Standing>| {
            standing.map(answered);
        });
    }

    /// Sends an introduction and waits for the answer. Returns `None` if there is none.
    pub async fn ask(&self, addr: SocketAddr, hello: Hello) -> Option<Standing> {
        let call = async move |client: ServiceClient| {
            client.hello(rpc::context(CALL_TIMEOUT), hello).await
        };
        let answer = self.peer(addr).call("peer_hello", call).await;
        answer.unwrap_or_else(|e| {
            log::info!("event=peer_call_failed {e}");
            None
        })
    }

    fn spawn<T, F>(
        &self,
        addr: SocketAddr,
        step: &'static str,
        call: impl FnOnce(ServiceClient) -> F + 'static,
        answered: impl FnOnce(T) + 'static,
    ) where
        F: Future<Output = Result<T, tarpc::client::RpcError>> + 'static,
    {
        let peer = self.peer(addr);
        if peer.in_flight.get() >= MAX_IN_FLIGHT {
            return;
        }
        peer.in_flight.set(peer.in_flight.get() + 1);
        actix_rt::spawn(async move {
            match peer.call(step, call).await {
                Ok(answer) => answered(answer),
                Err(e) => log::debug!("event=peer_call_failed {e}"),
            }
            peer.in_flight.set(peer.in_flight.get() - 1);
        });
    }

    /// Sends a snapshot in chunks. `head` is the snapshot message without data. Returns whether the
    /// peer accepted all chunks.
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
            let slice = data.slice(offset..data.len().min(offset + CHUNK_BYTES));
            let chunk = SnapshotChunk {
                sender,
                head: head.clone(),
                offset: offset as u64,
                total: data.len() as u64,
                data: slice.clone(),
            };
            let sent = peer.call("peer_chunk", |client| async move {
                client.snapshot_chunk(rpc::context(CALL_TIMEOUT), chunk).await
            });
            if !matches!(sent.await, Ok(true)) {
                return false;
            }
            offset += slice.len();
            if offset >= data.len() {
                return true;
            }
        }
    }
}

/// A snapshot that is received in chunks.
#[derive(Default)]
pub(super) struct IncomingSnapshot {
    head: Option<Message>,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    /// Adds a chunk. Returns the complete message after the last chunk, and `Err` if the chunk does
    /// not continue the snapshot received so far.
    pub fn add(&mut self, chunk: SnapshotChunk) -> Result<Option<Message>, ()> {
        if chunk.offset == 0 {
            *self = IncomingSnapshot { head: Some(chunk.head.clone()), data: Vec::new() };
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
