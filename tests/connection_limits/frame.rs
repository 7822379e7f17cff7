//! Decoding of frames from a peer that need not be one of the system's own processes.

use briargauge::transport::{frame, rpc::FRAME_MAX_BYTES};
use bytes::BytesMut;
use quickcheck::QuickCheck;
use tokio_util::codec::{Encoder, LengthDelimitedCodec};

/// Guards against frames that get lost or mixed up when they arrive in pieces.
#[test]
fn frames_arrive_whole_in_any_pieces() {
    fn holds(frames: Vec<Vec<u8>>, piece: u8) -> bool {
        let mut sent = BytesMut::new();
        for frame in &frames {
            LengthDelimitedCodec::new().encode(frame.as_slice(), &mut sent).unwrap();
        }
        let (mut source, mut arrived) = (BytesMut::new(), Vec::new());
        for piece in sent.chunks(usize::from(piece) + 1) {
            source.extend_from_slice(piece);
            while let Some(frame) = frame::decode(&mut source).unwrap() {
                arrived.push(frame.to_vec());
            }
        }
        arrived == frames && source.is_empty()
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<Vec<u8>>, u8) -> bool);
}

/// Guards against bytes that make the decoder panic, run on for ever, or allocate what a length
/// announces before it arrives.
#[test]
fn any_bytes_are_decoded_in_bounded_memory() {
    fn holds(length: u32, bytes: Vec<u8>) -> bool {
        let length = length % (2 * FRAME_MAX_BYTES as u32);
        let mut source = BytesMut::from(&length.to_be_bytes()[..]);
        source.extend_from_slice(&bytes);
        let arrived = source.len();
        while let Ok(Some(_)) = frame::decode(&mut source) {}
        source.capacity() <= 2 * arrived + 64 * 1024
    }
    QuickCheck::new().quickcheck(holds as fn(u32, Vec<u8>) -> bool);
    assert!(frame::decode(&mut BytesMut::from(&[0xff; 8][..])).is_err(), "too long");
}
