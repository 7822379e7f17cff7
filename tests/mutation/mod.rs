//! Changes of valid messages, and the memory that a decoder takes for a message.

#![allow(dead_code, reason = "each test file uses only some of these")]

use std::sync::{Mutex, MutexGuard, PoisonError};

use peak_alloc::PeakAlloc;
use quickcheck::{Arbitrary, Gen};

#[global_allocator]
static MEMORY: PeakAlloc = PeakAlloc;

/// Most bytes that a decoder may take for each byte of a message. The lists of messages with the
/// smallest elements, such as polls with one-digit numbers, take about 50.
const MEMORY_PER_BYTE: usize = 64;
/// Most bytes that a decoder may take besides. Each level of nested lists may reserve 1 MiB before its
/// elements are read.
const MEMORY_BASE: usize = 4 << 20;

/// One test at a time, as the allocations of the whole process are counted.
static COUNTED: Mutex<()> = Mutex::new(());

/// Lets no other test of the file run.
pub fn alone() -> MutexGuard<'static, ()> {
    COUNTED.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs `decode` on a message of `length` bytes. Returns the most memory that it took at a time, if
/// that was too much.
pub fn excess(length: usize, decode: impl FnOnce()) -> Result<(), usize> {
    let before = MEMORY.current_usage();
    MEMORY.reset_peak_usage();
    decode();
    let taken = MEMORY.peak_usage().saturating_sub(before);
    match taken <= MEMORY_BASE + MEMORY_PER_BYTE * length {
        true => Ok(()),
        false => Err(taken),
    }
}

/// Values at or beyond the limits of the fields, and values of another type.
const VALUES: [&str; 12] = [
    "-1",
    "0",
    "65536",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "1e309",
    "-0.0",
    "null",
    "\"\\ud800\"",
    "[]",
    "{}",
];

/// Lengths and numbers as `bincode` writes them: a mark of the size, then the bytes. The last one is
/// not valid.
pub const NUMBERS: [&[u8]; 6] = [
    &[0xfb, 0xff, 0xff],
    &[0xfc, 0, 0, 0, 0x40],
    &[0xfc, 0xff, 0xff, 0xff, 0xff],
    &[0xfd, 0, 0, 0, 0, 1, 0, 0, 0],
    &[0xfd, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
    &[0xff; 9],
];

/// A change of a message.
#[derive(Debug, Clone)]
pub enum Edit {
    Flip {
        at: usize,
        bit: u8,
    },
    Cut {
        at: usize,
    },
    Repeat {
        at: usize,
        len: usize,
        times: usize,
    },
    /// Replaces the number or text of a JSON field.
    Value {
        at: usize,
        value: usize,
    },
    /// Inserts nested JSON lists or objects.
    Nest {
        at: usize,
        depth: usize,
        objects: bool,
    },
    /// Replaces a byte by a number of [`NUMBERS`].
    Number {
        at: usize,
        number: usize,
    },
}

impl Arbitrary for Edit {
    fn arbitrary(g: &mut Gen) -> Edit {
        let at = usize::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0 => Edit::Flip { at, bit: u8::arbitrary(g) % 8 },
            1 => Edit::Cut { at },
            2 => Edit::Repeat {
                at,
                len: usize::arbitrary(g) % 64,
                times: usize::arbitrary(g) % 2_000,
            },
            3 => Edit::Nest { at, depth: usize::arbitrary(g) % 2_000, objects: bool::arbitrary(g) },
            4..=6 => Edit::Number { at, number: usize::arbitrary(g) % NUMBERS.len() },
            _ => Edit::Value { at, value: usize::arbitrary(g) % VALUES.len() },
        }
    }
}

impl Edit {
    pub fn apply(&self, body: &mut Vec<u8>) {
        if body.is_empty() {
            return;
        }
        match *self {
            Edit::Flip { at, bit } => {
                let at = at % body.len();
                body[at] ^= 1 << bit;
            }
            Edit::Cut { at } => body.truncate(at % body.len()),
            Edit::Repeat { at, len, times } => {
                let at = at % body.len();
                let piece = body[at..body.len().min(at + len)].repeat(times);
                body.splice(at..at, piece);
            }
            Edit::Value { at, value } => {
                let colons: Vec<usize> = (0..body.len()).filter(|i| body[*i] == b':').collect();
                let Some(start) = colons.get(at % colons.len().max(1)) else { return };
                let is_end = |b: &u8| matches!(b, b',' | b'}' | b']');
                let len = body[start + 1..].iter().position(is_end).unwrap_or(0);
                body.splice(start + 1..start + 1 + len, VALUES[value].bytes());
            }
            Edit::Nest { at, depth, objects } => {
                let at = at % body.len();
                let open = if objects { "{\"a\":" } else { "[" };
                body.splice(at..at, open.repeat(depth).bytes());
            }
            Edit::Number { at, number } => {
                let at = at % body.len();
                body.splice(at..=at, NUMBERS[number].iter().copied());
            }
        }
    }
}

/// Applies up to eight changes to a message.
pub fn changed(message: &[u8], edits: &[Edit]) -> Vec<u8> {
    let mut body = message.to_vec();
    edits.iter().take(8).for_each(|edit| edit.apply(&mut body));
    body
}

/// Applies up to eight changes to a text. Bytes that are no text would hide the other changes.
pub fn changed_text(text: &str, edits: &[Edit]) -> Vec<u8> {
    let is_text = |edit: &&Edit| !matches!(edit, Edit::Number { .. });
    let edits: Vec<Edit> = edits.iter().filter(is_text).cloned().collect();
    changed(text.as_bytes(), &edits)
}
