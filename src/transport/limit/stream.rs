//! TCP streams whose connections are counted.

use std::{
    collections::VecDeque,
    io::{self, Read, Write},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::{Connection, OutboundConnection, connection::READ_MAX_BYTES};

/// Response to a request that arrives on a connection that is not accepted.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    content-type: application/json\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";

/// An accepted stream. It reserves memory before it reads and tells its [`Connection`] what it has read
/// and written.
pub struct Stream {
    stream: TcpStream,
    connection: Rc<Connection>,
    /// Whether the reader has to process what it has before it reads on.
    full: bool,
    /// What has been read but has to wait.
    held: VecDeque<u8>,
}

impl Stream {
    pub(super) fn new(stream: TcpStream, connection: Rc<Connection>) -> Stream {
        Stream { stream, connection, full: false, held: VecDeque::new() }
    }

    /// Takes out of `buf` what must not be processed yet.
    fn hold_back(&mut self, buf: &mut ReadBuf<'_>, before: usize) {
        let read = &buf.filled()[before..];
        let processable = self.connection.processable(read);
        if processable < read.len() {
            for byte in read[processable..].iter().rev() {
                self.held.push_front(*byte);
            }
            buf.set_filled(before + processable);
        }
    }

    pub fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }

    pub fn peer_addr(&self) -> Option<std::net::SocketAddr> {
        self.stream.peer_addr().ok()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.full) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let most = self.connection.readable(buf.remaining());
        if most == 0 {
            self.connection.set_read_waker(cx.waker());
            return Poll::Pending;
        }
        let before = buf.filled().len();
        if self.held.is_empty() {
            let mut part = (&mut self.stream).take(most as u64);
            ready!(Pin::new(&mut part).poll_read(cx, buf))?;
        } else {
            let held = self.held.len().min(most);
            let held: Vec<u8> = self.held.drain(..held).collect();
            buf.put_slice(&held);
        }
        let read = buf.filled().len() - before;
        if read > 0 {
            self.connection.received(read);
        }
        if self.connection.reads_in_parts() {
            self.hold_back(buf, before);
            self.full = read == READ_MAX_BYTES || !self.held.is_empty();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        match &written {
            Poll::Ready(Ok(written)) => self.connection.written(*written),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.connection.write_blocked(),
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Only called once everything has been written; a TCP stream itself has nothing to flush.
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Refuses the request that has arrived on a connection, if there is one.
pub(super) fn refuse(stream: TcpStream) {
    // The runtime takes a new stream for not ready; the socket itself does not block.
    let Ok(mut stream) = stream.into_std() else { return };
    let mut request = [0; READ_MAX_BYTES];
    if stream.read(&mut request).is_ok_and(|read| read > 0) {
        let _ = stream.write(REFUSAL);
    }
}

/// A stream that this process has opened.
#[derive(Debug)]
pub struct OutboundStream {
    stream: TcpStream,
    _connection: OutboundConnection,
}

impl OutboundStream {
    pub fn new(stream: TcpStream, connection: OutboundConnection) -> OutboundStream {
        OutboundStream { stream, _connection: connection }
    }
}

impl AsyncRead for OutboundStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for OutboundStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
