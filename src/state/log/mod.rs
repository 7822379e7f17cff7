//! The durable log of a control instance: segment files in one data folder.
//!
//! [`Log::append`] writes records as one frame and syncs them. After a failed write or sync the
//! segment is given up: the next append writes its records into a new segment whose header says
//! where the old one ends.

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

/// Size at which a new segment is begun. Larger ones keep more entries on disk after compaction.
pub const SEGMENT_BYTES: u64 = 16 * 1024 * 1024;

const IDENTITY: &str = "identity";

/// What one frame is made of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    HardState(HardState),
    /// Replaces all entries from its index on.
    Entry(Entry),
    /// A snapshot at this index took the place of all entries.
    Reset(u64),
}

/// What a folder holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Saved {
    pub id: Id,
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// The log, open for appending.
pub struct Log {
    files: Arc<dyn Files>,
    id: Id,
    hard_state: HardState,
    /// Finished segments, oldest first, then the one in use.
    segments: Vec<Segment>,
    current: Option<Box<dyn Handle>>,
    next_frame: u64,
}

#[derive(Debug, Clone, Copy)]
struct Segment {
    number: u64,
    /// Length up to the last synced frame.
    end: u64,
    /// Highest index of an entry in it.
    last: u64,
}

impl Log {
    /// Recovers what the folder holds; an empty folder gets a new disk id.
    ///
    /// # Errors
    /// `Error::Corrupt` if something that was synced is damaged or missing.
    pub fn open(files: Box<dyn Files>, node: id::Node) -> Result<(Log, Saved)> {
        recovery::recover(Arc::from(files), node)
    }

    /// Writes `records` and returns once they are durable. After an error none of them counts as
    /// stored; the caller repeats the call with the same records, or more.
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        let full = self.segments.last().is_none_or(|s| s.end >= SEGMENT_BYTES);
        if full {
            self.current = None;
        }
        let hard_state = records.iter().rev().find_map(|r| match r {
            Record::HardState(hard_state) => Some(*hard_state),
            _ => None,
        });
        match &mut self.current {
            Some(_) => self.extend(records)?,
            None => self.begin(records)?,
        }
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        self.next_frame += 1;
        let last = records.iter().filter_map(Record::index).max().unwrap_or(0);
        let segment = self.segments.last_mut().expect("a segment is open");
        segment.last = segment.last.max(last);
        Ok(())
    }

    fn extend(&mut self, records: &[Record]) -> Result<()> {
        let segment = self.segments.last_mut().expect("a segment is open");
        // Recovery may have left a segment without its first frame.
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
        let path = self.files.path(&name(segment.number));
        written.context(error::FileSnafu { step: "append", path })?;
        segment.end += bytes.len() as u64;
        Ok(())
    }

    /// Writes `records` as the first frame of a new segment. Each segment repeats the hard state,
    /// since the ones before it may be removed.
    fn begin(&mut self, records: &[Record]) -> Result<()> {
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
        let name = name(number);
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
        self.segments.push(Segment { number, end: bytes.len() as u64, last: 0 });
        Ok(())
    }

    /// Stores a snapshot and removes the segments that it makes superfluous.
    pub fn compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        snapshot.store(&*self.files)?;
        self.trim(snapshot.meta.index)
    }

    /// The files, so that a snapshot can be stored while the log goes on.
    pub fn files(&self) -> Arc<dyn Files> {
        self.files.clone()
    }

    /// Puts a snapshot in the place of all entries, then appends `records`. Repeat after an error
    /// as for [`Log::append`].
    pub fn install(&mut self, snapshot: &Snapshot, records: &[Record]) -> Result<()> {
        snapshot.store(&*self.files)?;
        let reset = [Record::Reset(snapshot.meta.index)];
        self.append(&[&reset, records].concat())?;
        self.trim(snapshot.meta.index)
    }

    /// Removes segments that hold nothing after `index`, which a durable snapshot covers.
    pub fn trim(&mut self, index: u64) -> Result<()> {
        while self.segments.len() > 1 && self.segments[0].last <= index {
            let name = name(self.segments[0].number);
            let path = self.files.path(&name);
            self.files.remove(&name).context(error::FileSnafu { step: "remove", path })?;
            self.segments.remove(0);
        }
        let path = self.files.path("");
        self.files.sync().context(error::FileSnafu { step: "sync_folder", path })
    }

    /// Gives the folder a new disk id, so that it no longer counts as the voter it was.
    pub fn renew(&mut self) -> Result<Id> {
        let id = Id { node: self.id.node, disk: new_disk() };
        store_identity(&*self.files, id)?;
        self.id = id;
        Ok(id)
    }

    /// Bytes of all segments.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.end).sum()
    }
}

impl Record {
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

fn name(segment: u64) -> String {
    format!("{segment:020}.log")
}

fn new_disk() -> id::Disk {
    id::Disk(rand::random())
}

fn store_identity(files: &dyn Files, id: Id) -> Result<()> {
    let body = postcard::to_stdvec(&id).expect("ids serialise");
    files::replace(files, IDENTITY, &[&crc32fast::hash(&body).to_le_bytes(), &body])
}
