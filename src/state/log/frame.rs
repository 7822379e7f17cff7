//! Encoding of frames and segment headers.
//!
//! A frame holds the records of one synced write. A crash can therefore tear only the last frame; a
//! damaged frame that is followed by a valid one was damaged after its sync.
//!
//! A frame consists of magic number, payload length, checksum, frame number and payload. Frame
//! numbers increase by one. A segment header consists of magic number, version, checksum, segment
//! number, end of the previous segment and number of the first frame. All numbers are
//! little-endian.

use std::ops::Range;

const FRAME_MAGIC: u32 = 0x6d61_7246;
const SEGMENT_MAGIC: u32 = 0x6d67_6553;
const VERSION: u32 = 1;

/// Length of a frame without its payload.
pub const FRAME_BYTES: usize = 20;
/// Length of a segment header.
pub const HEADER_BYTES: usize = 36;

/// Header of a segment file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    pub segment: u64,
    /// Length of the valid part of the previous segment. Bytes after it were never acknowledged.
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
        let valid = u32_at(bytes, 0) == SEGMENT_MAGIC
            && u32_at(bytes, 4) == VERSION
            && u32_at(bytes, 8) == crc32fast::hash(&bytes[12..]);
        valid.then(|| Header {
            segment: u64_at(bytes, 12),
            previous_end: u64_at(bytes, 20),
            first_frame: u64_at(bytes, 28),
        })
    }
}

pub fn encode(number: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_BYTES + payload.len());
    bytes.extend_from_slice(&FRAME_MAGIC.to_le_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(number, payload).to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Returns number and payload range of the frame at offset `at`, or `None` if it is not valid.
pub fn decode(bytes: &[u8], at: usize) -> Option<(u64, Range<usize>)> {
    let head = bytes.get(at..at.checked_add(FRAME_BYTES)?)?;
    if u32_at(head, 0) != FRAME_MAGIC {
        return None;
    }
    let start = at + FRAME_BYTES;
    let payload = start..start.checked_add(u32_at(head, 4) as usize)?;
    let number = u64_at(head, 12);
    let valid = u32_at(head, 8) == checksum(number, bytes.get(payload.clone())?);
    valid.then_some((number, payload))
}

/// Whether `bytes` contain, at any offset, a valid frame with a number above `number`.
pub fn contains_later_frame(bytes: &[u8], number: u64) -> bool {
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
