//! Reads a data folder at start.

use std::{path::PathBuf, sync::Arc};

use snafu::ResultExt;

use super::{
    IDENTITY, Log, Record, Saved, Segment,
    files::{self, Files},
    frame::{self, HEADER_BYTES, Header},
    name, new_disk, store_identity,
};
use crate::{
    error::{self, Error, Result},
    protocol::{
        id,
        wire::peer::{Entry, HardState, Id},
    },
    state::snapshot::Snapshot,
};

pub(super) fn recover(files: Arc<dyn Files>, node: id::Node) -> Result<(Log, Saved)> {
    let names = files.list().context(error::FileSnafu { step: "list", path: files.path("") })?;
    for name in names.iter().filter(|n| n.ends_with(files::TEMPORARY)) {
        let path = files.path(name);
        files.remove(name).context(error::FileSnafu { step: "remove", path })?;
    }
    let snapshot = Snapshot::load(&*files)?;
    let mut numbers: Vec<u64> = names
        .iter()
        .filter_map(|n| n.strip_suffix(".log").filter(|n| n.len() == 20)?.parse().ok())
        .collect();
    numbers.sort_unstable();
    let id = identity(&*files, node, names.iter().any(|n| n == IDENTITY), numbers.is_empty())?;
    let replay = Replay::read(&*files, &numbers)?;
    let entries = replay.after(snapshot.as_ref(), files.path(""))?;
    let saved = Saved { id, hard_state: replay.hard_state, snapshot, entries };
    let mut current = None;
    if let Some(segment) = replay.segments.last() {
        let name = name(segment.number);
        let handle = files
            .open(&name, segment.end)
            .context(error::FileSnafu { step: "open_segment", path: files.path(&name) })?;
        current = Some(handle);
    }
    let log = Log {
        files,
        id,
        hard_state: saved.hard_state,
        segments: replay.segments,
        current,
        next_frame: replay.next_frame,
    };
    Ok((log, saved))
}

fn identity(files: &dyn Files, node: id::Node, present: bool, empty: bool) -> Result<Id> {
    let path = files.path(IDENTITY);
    let corrupt = |reason: &str| Error::Corrupt {
        step: "identity",
        path: path.clone(),
        offset: 0,
        reason: reason.to_owned(),
    };
    if !present {
        if !empty {
            return Err(corrupt("file is missing beside log segments"));
        }
        let id = Id { node, disk: new_disk() };
        store_identity(files, id)?;
        return Ok(id);
    }
    let bytes = files.read(IDENTITY).context(error::FileSnafu { step: "identity", path: &path })?;
    let sound = bytes.len() > 4 && bytes[..4] == crc32fast::hash(&bytes[4..]).to_le_bytes();
    let id = sound.then(|| postcard::from_bytes::<Id>(&bytes[4..]).ok()).flatten();
    let id = id.ok_or_else(|| corrupt("checksum differs"))?;
    if id.node != node {
        return Err(corrupt(&format!("folder belongs to node {}, not {}", id.node.0, node.0)));
    }
    Ok(id)
}

/// What is known of the entries before those that were read.
#[derive(Debug, Default, Clone, Copy)]
enum Base {
    /// They were in removed segments.
    #[default]
    Unknown,
    /// As before; an entry with the next index has been read.
    Inferred(u64),
    Known(u64),
}

/// The records of all segments in order.
#[derive(Debug, Default)]
struct Replay {
    hard_state: HardState,
    /// Index that the entries follow.
    base: Base,
    entries: Vec<Entry>,
    segments: Vec<Segment>,
    next_frame: u64,
}

impl Replay {
    fn read(files: &dyn Files, numbers: &[u64]) -> Result<Replay> {
        let mut replay = Replay { base: Base::Known(0), next_frame: 1, ..Replay::default() };
        let mut contents = Vec::with_capacity(numbers.len());
        for &number in numbers {
            let path = files.path(&name(number));
            let bytes =
                files.read(&name(number)).context(error::FileSnafu { step: "recover", path })?;
            contents.push((number, bytes));
        }
        // A crash while a segment was begun leaves a last file without a sound header.
        if let Some((number, bytes)) = contents.last()
            && Header::decode(bytes).is_none()
            && !frame::any_after(bytes, 0)
        {
            let name = name(*number);
            let path = files.path(&name);
            files.remove(&name).context(error::FileSnafu { step: "remove", path })?;
            contents.pop();
        }
        let mut headers = Vec::with_capacity(contents.len());
        for (number, bytes) in &contents {
            let header = Header::decode(bytes).filter(|h| h.segment == *number);
            let path = files.path(&name(*number));
            headers.push(header.ok_or_else(|| corrupt(path, 0, "segment header is damaged"))?);
        }
        for (at, (number, bytes)) in contents.iter().enumerate() {
            let next = headers.get(at + 1);
            if next.is_some_and(|next| next.segment != number + 1) {
                let path = files.path(&name(number + 1));
                return Err(corrupt(path, 0, "segment is missing"));
            }
            if at == 0 && headers[0].segment > 1 {
                replay.base = Base::Unknown;
                replay.next_frame = headers[0].first_frame;
            }
            let limit = next.map(|next| next.previous_end);
            let path = files.path(&name(*number));
            replay.segment(path, headers[at], bytes, limit)?;
        }
        Ok(replay)
    }

    /// Takes over a segment up to `limit`; the last one has none.
    fn segment(
        &mut self,
        path: PathBuf,
        header: Header,
        bytes: &[u8],
        limit: Option<u64>,
    ) -> Result<()> {
        let fail = |at: usize, reason: &str| corrupt(path.clone(), at as u64, reason);
        if header.first_frame != self.next_frame {
            return Err(fail(0, "frames before this segment are missing"));
        }
        let end = limit.map_or(bytes.len(), |limit| limit as usize);
        let mut segment = Segment { number: header.segment, end: HEADER_BYTES as u64, last: 0 };
        let mut at = HEADER_BYTES;
        while at < end {
            let sound = frame::decode(bytes, at).filter(|(_, payload)| payload.end <= end);
            let Some((number, payload)) = sound else {
                if limit.is_some() || frame::any_after(&bytes[at..], self.next_frame) {
                    return Err(fail(at, "frame is damaged"));
                }
                let left = bytes.len() - at;
                log::warn!("event=torn_tail file={} offset={at} bytes={left}", path.display());
                break;
            };
            if number != self.next_frame {
                return Err(fail(at, "frame is missing"));
            }
            let records: Vec<Record> = postcard::from_bytes(&bytes[payload.clone()])
                .map_err(|e| fail(at, &e.to_string()))?;
            for record in records {
                segment.last = segment.last.max(record.index().unwrap_or(0));
                self.record(record).map_err(|reason| fail(at, reason))?;
            }
            self.next_frame += 1;
            at = payload.end;
        }
        segment.end = at as u64;
        self.segments.push(segment);
        Ok(())
    }

    fn record(&mut self, record: Record) -> Result<(), &'static str> {
        match record {
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Reset(index) => {
                self.base = Base::Known(index);
                self.entries.clear();
            }
            Record::Entry(entry) => {
                let base = match self.base {
                    Base::Known(base) if entry.index <= base => {
                        return Err("entry replaces a removed one");
                    }
                    Base::Inferred(base) if entry.index > base => base,
                    Base::Known(base) => base,
                    Base::Unknown | Base::Inferred(_) => {
                        self.entries.clear();
                        self.base = Base::Inferred(entry.index - 1);
                        entry.index - 1
                    }
                };
                let kept = (entry.index - base - 1) as usize;
                if kept > self.entries.len() {
                    return Err("entries are missing");
                }
                self.entries.truncate(kept);
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    /// The entries that follow a snapshot.
    fn after(&self, snapshot: Option<&Snapshot>, path: PathBuf) -> Result<Vec<Entry>> {
        let (index, term) = snapshot.map_or((0, 0), |s| (s.meta.index, s.meta.term));
        let base = match self.base {
            Base::Unknown => index,
            Base::Inferred(base) | Base::Known(base) => base,
        };
        if base > index {
            return Err(corrupt(path, 0, "entries between the snapshot and the log are missing"));
        }
        let covered = (index - base) as usize;
        let agrees =
            covered == 0 || self.entries.get(covered - 1).is_some_and(|entry| entry.term == term);
        Ok(if agrees { self.entries[covered..].to_vec() } else { Vec::new() })
    }
}

fn corrupt(path: PathBuf, offset: u64, reason: &str) -> Error {
    Error::Corrupt { step: "recover", path, offset, reason: reason.to_owned() }
}
