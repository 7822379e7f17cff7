//! Frames of remote calls: a length of four bytes, then as many bytes.

use std::{io, rc::Rc};

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::transport::{limit, rpc::FRAME_MAX_BYTES};

/// Bytes of the length before a frame.
const LENGTH_BYTES: usize = 4;
/// Most memory that is allocated for a frame before its bytes arrive.
const AHEAD_MAX_BYTES: usize = 16 * 1024;

/// Most memory that a buffer without content keeps.
const KEPT_MAX_BYTES: usize = 256 * 1024;

/// Server's side of [`LengthDelimitedCodec`]. That codec allocates the memory for a whole frame when
/// its length arrives; this one allocates as the frame does, and tells the connection about frames.
pub struct Codec {
    connection: Rc<limit::Connection>,
    encoder: LengthDelimitedCodec,
}

impl Codec {
    pub fn new(connection: Rc<limit::Connection>) -> Codec {
        let encoder = LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec();
        Codec { connection, encoder }
    }
}

impl Decoder for Codec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let frame = decode(source);
        release_if_large(source);
        match &frame {
            Ok(Some(_)) => self.connection.message_arrived(source.len()),
            Ok(None) => self.connection.message_awaited(source.len()),
            Err(_) => {}
        }
        frame
    }
}

impl Encoder<Bytes> for Codec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, target: &mut BytesMut) -> io::Result<()> {
        release_if_large(target);
        if let Err(reason) = self.connection.message_made(LENGTH_BYTES + frame.len()) {
            self.connection.close(reason);
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.encoder.encode(frame, target)
    }
}

/// Drops the memory of an empty buffer that has grown for a large frame. The connection would keep it
/// otherwise.
fn release_if_large(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > KEPT_MAX_BYTES {
        *buffer = BytesMut::new();
    }
}

/// Takes the next frame out of `source`, if all of it is there.
pub fn decode(source: &mut BytesMut) -> io::Result<Option<BytesMut>> {
    let Some((length, arrived)) = source.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > FRAME_MAX_BYTES {
        let reason = format!("frame of {length} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    let missing = length.saturating_sub(arrived.len());
    if missing > 0 {
        source.reserve(missing.min(AHEAD_MAX_BYTES));
        return Ok(None);
    }
    source.advance(LENGTH_BYTES);
    Ok(Some(source.split_to(length)))
}
