//! Frames and segment headers as bytes.
//!
//! A frame holds the records of one synced write: a crash can tear the last frame only, and a
//! damaged frame that is followed by a sound one has been damaged after its sync.
//!
//! Frame: magic, payload length, checksum, number (each frame's is one higher), payload.
//! Segment header: magic, version, checksum, segment number, end of the previous segment, number
//! of the first frame. All numbers are little-endian.

use std::ops::Range;

const FRAME_MAGIC: u32 = 0x6d61_7246;
const SEGMENT_MAGIC: u32 = 0x6d67_6553;
const VERSION: u32 = 1;

/// Length of a frame without its payload.
pub const FRAME_BYTES: usize = 20;
/// Length of a segment header.
pub const HEADER_BYTES: usize = 36;

/// What stands at the start of a segment file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    pub segment: u64,
    /// Where the previous segment ends; what it holds after that was never acknowledged.
    pub previous_end: u64,
    pub first_frame: u64,
}

impl Header {
    pub fn encode(&self) -> Vec<u8> {
        let mut body = Vec::with_capacity(24);
        for number in [self.segment, self.previous_end, self.first_frame] {
            body.extend_from_slice(&number.to_le_bytes());
        }
        let mut bytes = Vec::with_capacity(HEADER_BYTES);
        for number in [SEGMENT_MAGIC, VERSION, crc32fast::hash(&body)] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        bytes.extend_from_slice(&body);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Header> {
        let bytes = bytes.get(..HEADER_BYTES)?;
        let sound = u32_at(bytes, 0) == SEGMENT_MAGIC
            && u32_at(bytes, 4) == VERSION
            && u32_at(bytes, 8) == crc32fast::hash(&bytes[12..]);
        sound.then(|| Header {
            segment: u64_at(bytes, 12),
            previous_end: u64_at(bytes, 20),
            first_frame: u64_at(bytes, 28),
        })
    }
}

/// Encodes a frame.
pub fn encode(number: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_BYTES + payload.len());
    bytes.extend_from_slice(&FRAME_MAGIC.to_le_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(number, payload).to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Number and payload of the sound frame at `at`, if there is one.
pub fn decode(bytes: &[u8], at: usize) -> Option<(u64, Range<usize>)> {
    let head = bytes.get(at..at.checked_add(FRAME_BYTES)?)?;
    if u32_at(head, 0) != FRAME_MAGIC {
        return None;
    }
    let start = at + FRAME_BYTES;
    let payload = start..start.checked_add(u32_at(head, 4) as usize)?;
    let number = u64_at(head, 12);
    let sound = u32_at(head, 8) == checksum(number, bytes.get(payload.clone())?);
    sound.then_some((number, payload))
}

/// Whether a sound frame with a number above `number` lies anywhere in `bytes`.
pub fn any_after(bytes: &[u8], number: u64) -> bool {
    let magic = FRAME_MAGIC.to_le_bytes();
    (0..bytes.len().saturating_sub(FRAME_BYTES - 1))
        .filter(|&at| bytes[at..at + 4] == magic)
        .any(|at| decode(bytes, at).is_some_and(|(found, _)| found > number))
}

fn checksum(number: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&number.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes[at..at + 4].try_into().expect("four bytes"))
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes[at..at + 8].try_into().expect("eight bytes"))
}
