//! HTTP server of the stand-in. It uses only the codec of `actix-http`, because the server of
//! `actix-http` cannot truncate or repeat a response on purpose.

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

/// Longest request body, in bytes.
const BODY_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Number of bytes that [`Delivery::Truncated`] omits at the end.
const TRUNCATED_BYTES: usize = 2;

/// How a response is sent.
#[derive(Debug)]
pub enum Delivery {
    Complete(Response<Bytes>),
    /// The last bytes of the body are omitted, then the connection is closed.
    Truncated(Response<Bytes>),
    Twice(Response<Bytes>),
    /// Nothing is sent, and the connection is closed.
    Nothing,
}

/// Answers requests. The future is dropped if the client closes its connection.
pub trait Handler: 'static {
    fn answer(self: Rc<Self>, request: Request, body: Bytes) -> impl Future<Output = Delivery>;
}

/// Accepts and serves connections until `stopped` changes. Requests that have been received are
/// still answered after that.
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
        let delivery = tokio::select! {
            delivery = handler.clone().answer(request, body) => delivery,
            // Clients do not pipeline requests, so anything read now means that the client has
            // closed the connection.
            _ = framed.next() => return,
        };
        if !send(&mut framed, delivery).await {
            return;
        }
    }
}

/// Reads a request and its body. `None` if the connection closed or the request is not valid or too
/// long.
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

/// Sends a response. Returns whether the connection stays open.
async fn send(framed: &mut Framed<TcpStream, Codec>, delivery: Delivery) -> bool {
    let (response, copies, complete) = match delivery {
        Delivery::Complete(response) => (response, 1, true),
        Delivery::Twice(response) => (response, 2, true),
        Delivery::Truncated(response) => (response, 1, false),
        Delivery::Nothing => return false,
    };
    let Ok(bytes) = encode(framed.codec_mut(), response) else { return false };
    let bytes = if complete {
        &bytes[..]
    } else {
        &bytes[..bytes.len() - TRUNCATED_BYTES.min(bytes.len())]
    };
    for _ in 0..copies {
        if framed.io_mut().write_all(bytes).await.is_err() {
            return false;
        }
    }
    complete && framed.codec_ref().keep_alive()
}

fn encode(codec: &mut Codec, response: Response<Bytes>) -> std::io::Result<BytesMut> {
    let mut body = Bytes::new();
    let head = response.map_body(|_, response_body| body = response_body);
    let mut out = BytesMut::new();
    codec.encode(Message::Item((head, BodySize::Sized(body.len() as u64))), &mut out)?;
    codec.encode(Message::Chunk(Some(body)), &mut out)?;
    codec.encode(Message::Chunk(None), &mut out)?;
    Ok(out)
}
