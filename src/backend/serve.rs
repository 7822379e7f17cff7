//! HTTP server of the stand-in: `actix-http`'s codec over a connection that can be broken on
//! purpose, which its own server does not allow.

use std::{future::Future, rc::Rc};

use actix_codec::{Encoder, Framed};
use actix_http::{
    Request, Response, ServiceConfig,
    body::BodySize,
    h1::{Codec, Message},
};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Longest request, in bytes.
const BODY_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Length of the end that [`Sent::Cut`] leaves away, in bytes.
const CUT_BYTES: usize = 2;

/// How an answer goes out.
#[derive(Debug)]
pub enum Sent {
    Whole(Response<Bytes>),
    /// All but the end of the body, then the connection is closed.
    Cut(Response<Bytes>),
    Twice(Response<Bytes>),
    /// Nothing; the connection is closed.
    Nothing,
}

/// Answers requests; a dropped future means that the client has gone.
pub trait Handler: 'static {
    fn answer(self: Rc<Self>, request: Request, body: Bytes) -> impl Future<Output = Sent>;
}

/// Serves connections until `stopped` changes; requests in work are answered even then.
pub async fn accept<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    mut stopped: watch::Receiver<()>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        actix_rt::spawn(connection(stream, handler.clone(), stopped.clone()));
    }
}

async fn connection<H: Handler>(
    stream: TcpStream,
    handler: Rc<H>,
    mut stopped: watch::Receiver<()>,
) {
    let mut framed = Framed::new(stream, Codec::new(ServiceConfig::default()));
    loop {
        let received = tokio::select! {
            received = receive(&mut framed) => received,
            _ = stopped.changed() => return,
        };
        let Some((request, body)) = received else { return };
        let answered = tokio::select! {
            sent = handler.clone().answer(request, body) => sent,
            // Nothing is pipelined, so whatever arrives now is the client's end.
            _ = framed.next() => return,
        };
        if !send(&mut framed, answered).await {
            return;
        }
    }
}

async fn receive(framed: &mut Framed<TcpStream, Codec>) -> Option<(Request, Bytes)> {
    let Message::Item(request) = framed.next().await?.ok()? else { return None };
    let mut body = BytesMut::new();
    if framed.codec_ref().message_type() != actix_http::h1::MessageType::None {
        while let Message::Chunk(Some(chunk)) = framed.next().await?.ok()? {
            if body.len() + chunk.len() > BODY_MAX_BYTES {
                return None;
            }
            body.extend_from_slice(&chunk);
        }
    }
    Some((request, body.freeze()))
}

/// Sends an answer. Returns whether the connection goes on.
async fn send(framed: &mut Framed<TcpStream, Codec>, sent: Sent) -> bool {
    let (response, copies, whole) = match sent {
        Sent::Whole(response) => (response, 1, true),
        Sent::Twice(response) => (response, 2, true),
        Sent::Cut(response) => (response, 1, false),
        Sent::Nothing => return false,
    };
    let Ok(bytes) = encode(framed.codec_mut(), response) else { return false };
    let bytes = if whole { &bytes[..] } else { &bytes[..bytes.len() - CUT_BYTES.min(bytes.len())] };
    for _ in 0..copies {
        if framed.io_mut().write_all(bytes).await.is_err() {
            return false;
        }
    }
    whole && framed.codec_ref().keep_alive()
}

fn encode(codec: &mut Codec, response: Response<Bytes>) -> std::io::Result<BytesMut> {
    let mut body = Bytes::new();
    let head = response.map_body(|_, whole| body = whole);
    let mut out = BytesMut::new();
    codec.encode(Message::Item((head, BodySize::Sized(body.len() as u64))), &mut out)?;
    codec.encode(Message::Chunk(Some(body)), &mut out)?;
    codec.encode(Message::Chunk(None), &mut out)?;
    Ok(out)
}
