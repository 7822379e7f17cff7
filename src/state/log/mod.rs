//! The durable log of a control instance: segment files in one data directory.
//!
//! [`Log::append`] writes records as one frame and syncs them. After a failed write or sync the
//! segment is closed: the next append writes its records to a new segment, whose header records
//! where the valid part of the old one ends.

pub mod files;
mod frame;
mod recovery;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::{
    error::{self, Result},
    protocol::{
        id,
        wire::peer::{Entry, HardState, Id},
    },
    state::snapshot::Snapshot,
};
use files::{Files, Handle};
use frame::Header;

/// Size at which a new segment is started. Larger segments keep more entries on disk after a
/// compaction, which removes whole segments only.
pub const SEGMENT_BYTES: u64 = 16 * 1024 * 1024;

const IDENTITY: &str = "identity";

/// A record of the log; a frame holds one or more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    HardState(HardState),
    /// Replaces all entries from its own index on.
    Entry(Entry),
    /// A snapshot at this index has replaced all entries.
    Reset(u64),
}

/// Content of a data directory as recovered at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered {
    pub id: Id,
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    /// The consecutive entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// The log, open for appending.
pub struct Log {
    files: Arc<dyn Files>,
    id: Id,
    hard_state: HardState,
    /// All segments, oldest first. The last one is appended to while `current` is set.
    segments: Vec<Segment>,
    current: Option<Box<dyn Handle>>,
    next_frame: u64,
    /// Index of the stored snapshot if it has replaced all entries and no durable record says so.
    /// The next frame starts with that record.
    unrecorded_reset: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Segment {
    number: u64,
    /// Offset of the end of the last synced frame.
    end: u64,
    /// Highest index of an entry or a reset in the segment.
    last_index: u64,
}

impl Log {
    /// Recovers the content of a data directory. An empty directory gets a new disk id.
    ///
    /// # Errors
    /// `Error::Corrupt` if synced data is damaged or missing.
    pub fn open(files: Box<dyn Files>, node: id::Node) -> Result<(Log, Recovered)> {
        recovery::recover(Arc::from(files), node)
    }

    /// Writes `records` and returns once they are durable. After an error none of them counts as
    /// stored, and the caller must repeat the call with the same records; it may add others.
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        let full = self.segments.last().is_none_or(|s| s.end >= SEGMENT_BYTES);
        if full {
            self.current = None;
        }
        let hard_state = records.iter().rev().find_map(|r| match r {
            Record::HardState(hard_state) => Some(*hard_state),
            _ => None,
        });
        let reset: Vec<Record> = self.unrecorded_reset.map(Record::Reset).into_iter().collect();
        let records = &[&reset, records].concat();
        match &mut self.current {
            Some(_) => self.append_to_current_segment(records)?,
            None => self.append_to_new_segment(records)?,
        }
        self.unrecorded_reset = None;
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        self.next_frame += 1;
        let last = records.iter().filter_map(Record::index).max().unwrap_or(0);
        let segment = self.segments.last_mut().expect("a segment is open");
        segment.last_index = segment.last_index.max(last);
        Ok(())
    }

    fn append_to_current_segment(&mut self, records: &[Record]) -> Result<()> {
        let segment = self.segments.last_mut().expect("a segment is open");
        // If recovery dropped the only frame, the new first frame must repeat the hard state.
        let payload = match segment.end as usize == frame::HEADER_BYTES {
            true => encode(&[&[Record::HardState(self.hard_state)], records].concat()),
            false => encode(records),
        };
        let bytes = frame::encode(self.next_frame, &payload);
        let handle = self.current.as_mut().expect("a segment is open");
        let written = handle.write(&bytes).and_then(|()| handle.sync());
        if written.is_err() {
            self.current = None;
        }
        let path = self.files.path(&segment_name(segment.number));
        written.context(error::FileSnafu { step: "append", path })?;
        segment.end += bytes.len() as u64;
        Ok(())
    }

    /// Writes `records` as the first frame of a new segment. Every segment starts with the hard
    /// state, because the earlier segments may be removed.
    fn append_to_new_segment(&mut self, records: &[Record]) -> Result<()> {
        let previous = self.segments.last();
        let number = previous.map_or(1, |s| s.number + 1);
        let header = Header {
            segment: number,
            previous_end: previous.map_or(0, |s| s.end),
            first_frame: self.next_frame,
        };
        let all = [&[Record::HardState(self.hard_state)], records].concat();
        let mut bytes = header.encode();
        bytes.extend(frame::encode(self.next_frame, &encode(&all)));
        let name = segment_name(number);
        let files = &*self.files;
        let write = || {
            let mut handle = files.create(&name)?;
            handle.write(&bytes)?;
            handle.sync()?;
            files.sync()?;
            Ok(handle)
        };
        let handle =
            write().context(error::FileSnafu { step: "append", path: files.path(&name) })?;
        self.current = Some(handle);
        self.segments.push(Segment { number, end: bytes.len() as u64, last_index: 0 });
        Ok(())
    }

    /// Stores a snapshot and removes the segments that it covers.
    pub fn compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        snapshot.store(&*self.files)?;
        self.trim(snapshot.meta.index)
    }

    /// The files of the data directory, for storing a snapshot while the log is in use.
    pub fn files(&self) -> Arc<dyn Files> {
        self.files.clone()
    }

    /// Replaces all entries by a snapshot, then appends `records`. After an error the call must be
    /// repeated as for [`Log::append`].
    pub fn install(&mut self, snapshot: &Snapshot, records: &[Record]) -> Result<()> {
        snapshot.store(&*self.files)?;
        self.unrecorded_reset = Some(snapshot.meta.index);
        self.append(records)?;
        self.trim(snapshot.meta.index)
    }

    /// Removes the oldest segments that hold no entry after `index`. A durable snapshot must cover
    /// `index`.
    ///
    /// Each removal is durable before the next: after a loss of power a segment must not come back
    /// without its successor.
    pub fn trim(&mut self, index: u64) -> Result<()> {
        while self.segments.len() > 1 && self.segments[0].last_index <= index {
            let name = segment_name(self.segments[0].number);
            let path = self.files.path(&name);
            self.files.remove(&name).context(error::FileSnafu { step: "remove", path })?;
            self.segments.remove(0);
            let path = self.files.path("");
            self.files.sync().context(error::FileSnafu { step: "sync_folder", path })?;
        }
        Ok(())
    }

    /// Gives the data directory a new disk id, so that it no longer counts as the same voter.
    pub fn renew_disk_id(&mut self) -> Result<Id> {
        let id = Id { node: self.id.node, disk: new_disk_id() };
        store_identity(&*self.files, id)?;
        self.id = id;
        Ok(id)
    }

    /// Total size of all segments in bytes.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.end).sum()
    }
}

impl Record {
    /// Log index of an entry or a reset.
    fn index(&self) -> Option<u64> {
        match self {
            Record::HardState(_) => None,
            Record::Entry(entry) => Some(entry.index),
            Record::Reset(index) => Some(*index),
        }
    }
}

fn encode(records: &[Record]) -> Vec<u8> {
    postcard::to_stdvec(records).expect("records serialise")
}

fn segment_name(segment: u64) -> String {
    format!("{segment:020}.log")
}

fn new_disk_id() -> id::Disk {
    id::Disk(rand::random())
}

fn store_identity(files: &dyn Files, id: Id) -> Result<()> {
    let body = postcard::to_stdvec(&id).expect("ids serialise");
    files::replace(files, IDENTITY, &[&crc32fast::hash(&body).to_le_bytes(), &body])
}
