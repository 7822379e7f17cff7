//! A TCP relay between an entry and a peer that can break connections and duplicate messages.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

pub struct Relay {
    pub addr: SocketAddr,
    /// Whether each message from the peer to the entry is sent twice.
    pub doubling: Cell<bool>,
    cut: watch::Sender<()>,
}

impl Relay {
    /// Relays connections to `target`.
    pub async fn start(target: SocketAddr) -> Rc<Relay> {
        let listener = TcpListener::bind(super::any()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (cut, _) = watch::channel(());
        let relay = Rc::new(Relay { addr, doubling: Cell::new(false), cut });
        let accepting = relay.clone();
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(target).await else { continue };
                actix_rt::spawn(accepting.clone().relay(client, server));
            }
        });
        relay
    }

    /// Breaks all open connections.
    pub fn cut(&self) {
        self.cut.send_replace(());
    }

    async fn relay(self: Rc<Self>, mut client: TcpStream, mut server: TcpStream) {
        let mut cut = self.cut.subscribe();
        let (client_in, client_out) = client.split();
        let (server_in, server_out) = server.split();
        tokio::select! {
            _ = frames(client_in, server_out, || 1) => {}
            _ = frames(server_in, client_out, || if self.doubling.get() { 2 } else { 1 }) => {}
            _ = cut.changed() => {}
        }
    }
}

/// Copies length-delimited frames, each as many times as `times` returns.
async fn frames(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    times: impl Fn() -> usize,
) -> std::io::Result<()> {
    loop {
        let length = from.read_u32().await?;
        let mut frame = length.to_be_bytes().to_vec();
        frame.resize(4 + length as usize, 0);
        from.read_exact(&mut frame[4..]).await?;
        for _ in 0..times() {
            to.write_all(&frame).await?;
        }
    }
}

/// An address at which no process listens.
pub async fn closed() -> SocketAddr {
    TcpListener::bind(super::any()).await.unwrap().local_addr().unwrap()
}
