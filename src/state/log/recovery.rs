//! Recovery of a data directory at start.

use std::{path::PathBuf, sync::Arc};

use snafu::ResultExt;

use super::{
    IDENTITY, Log, Record, Recovered, Segment,
    files::{self, Files},
    frame::{self, HEADER_BYTES, Header},
    new_disk_id, segment_name, store_identity,
};
use crate::{
    error::{self, Error, Result},
    protocol::{
        id,
        wire::peer::{Entry, HardState, Id},
    },
    state::snapshot::Snapshot,
};

pub(super) fn recover(files: Arc<dyn Files>, node: id::Node) -> Result<(Log, Recovered)> {
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
    let id = load_identity(&*files, node, names.iter().any(|n| n == IDENTITY), numbers.is_empty())?;
    let replay = Replay::read(&*files, &numbers)?;
    let entries = replay.entries_after(snapshot.as_ref(), files.path(""))?;
    // The process ended after the snapshot was stored and before the entries were reset.
    let unrecorded_reset = match (&snapshot, &entries) {
        (Some(snapshot), None) => {
            log::warn!("event=installation_resumed index={}", snapshot.meta.index);
            Some(snapshot.meta.index)
        }
        _ => None,
    };
    let entries = entries.unwrap_or_default();
    let recovered = Recovered { id, hard_state: replay.hard_state, snapshot, entries };
    let mut current = None;
    if let Some(segment) = replay.segments.last() {
        let name = segment_name(segment.number);
        let handle = files
            .open(&name, segment.end)
            .context(error::FileSnafu { step: "open_segment", path: files.path(&name) })?;
        current = Some(handle);
    }
    let log = Log {
        files,
        id,
        hard_state: recovered.hard_state,
        segments: replay.segments,
        current,
        next_frame: replay.next_frame,
        unrecorded_reset,
    };
    Ok((log, recovered))
}

/// Reads the identity file. If neither that nor a log segment exists, the data directory is new and
/// gets an identity.
fn load_identity(
    files: &dyn Files,
    node: id::Node,
    identity_exists: bool,
    no_segments: bool,
) -> Result<Id> {
    let path = files.path(IDENTITY);
    let corrupt = |reason: &str| Error::Corrupt {
        step: "identity",
        path: path.clone(),
        offset: 0,
        reason: reason.to_owned(),
    };
    if !identity_exists {
        if !no_segments {
            return Err(corrupt("file is missing, but there are log segments"));
        }
        let id = Id { node, disk: new_disk_id() };
        store_identity(files, id)?;
        return Ok(id);
    }
    let bytes = files.read(IDENTITY).context(error::FileSnafu { step: "identity", path: &path })?;
    let valid = bytes.len() > 4 && bytes[..4] == crc32fast::hash(&bytes[4..]).to_le_bytes();
    let id = valid.then(|| postcard::from_bytes::<Id>(&bytes[4..]).ok()).flatten();
    let id =
        id.ok_or_else(|| corrupt("file is truncated, or its checksum or content is invalid"))?;
    if id.node != node {
        return Err(corrupt(&format!(
            "data directory belongs to node {}, not {}",
            id.node.0, node.0
        )));
    }
    Ok(id)
}

/// Index of the entry before the first one that was read.
#[derive(Debug, Default, Clone, Copy)]
enum Base {
    /// The earlier entries are in removed segments, and no entry has been read.
    #[default]
    Unknown,
    /// The earlier entries are in removed segments. The index is derived from the first entry that
    /// was read.
    Inferred(u64),
    Known(u64),
}

/// Log content after replaying the records of all segments in order.
#[derive(Debug, Default)]
struct Replay {
    hard_state: HardState,
    /// Index before that of the first element of `entries`.
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
            let path = files.path(&segment_name(number));
            let bytes = files
                .read(&segment_name(number))
                .context(error::FileSnafu { step: "recover", path })?;
            contents.push((number, bytes));
        }
        // A crash during the creation of a segment leaves a last file without a valid header.
        if let Some((number, bytes)) = contents.last()
            && Header::decode(bytes).is_none()
            && !frame::contains_later_frame(bytes, 0)
        {
            let name = segment_name(*number);
            let path = files.path(&name);
            files.remove(&name).context(error::FileSnafu { step: "remove", path })?;
            contents.pop();
        }
        let mut headers = Vec::with_capacity(contents.len());
        for (number, bytes) in &contents {
            let header = Header::decode(bytes).filter(|h| h.segment == *number);
            let path = files.path(&segment_name(*number));
            let reason = "segment header is damaged, or its number differs from the file name";
            headers.push(header.ok_or_else(|| corrupt(path, 0, reason))?);
        }
        for (at, (number, bytes)) in contents.iter().enumerate() {
            let next = headers.get(at + 1);
            if next.is_some_and(|next| next.segment != number + 1) {
                let path = files.path(&segment_name(number + 1));
                return Err(corrupt(path, 0, "segment is missing"));
            }
            if at == 0 && headers[0].segment > 1 {
                replay.base = Base::Unknown;
                replay.next_frame = headers[0].first_frame;
            }
            let limit = next.map(|next| next.previous_end);
            let path = files.path(&segment_name(*number));
            replay.read_segment(path, headers[at], bytes, limit)?;
        }
        Ok(replay)
    }

    /// Replays a segment up to the offset `limit`. The last segment has no limit.
    fn read_segment(
        &mut self,
        path: PathBuf,
        header: Header,
        bytes: &[u8],
        limit: Option<u64>,
    ) -> Result<()> {
        let fail = |at: usize, reason: &str| corrupt(path.clone(), at as u64, reason);
        if header.first_frame != self.next_frame {
            return Err(fail(0, "frames before the first one of this segment are missing"));
        }
        let end = limit.map_or(bytes.len(), |limit| limit as usize);
        let mut segment =
            Segment { number: header.segment, end: HEADER_BYTES as u64, last_index: 0 };
        let mut at = HEADER_BYTES;
        while at < end {
            let valid = frame::decode(bytes, at).filter(|(_, payload)| payload.end <= end);
            let Some((number, payload)) = valid else {
                if limit.is_some() || frame::contains_later_frame(&bytes[at..], self.next_frame) {
                    return Err(fail(at, "frame is damaged"));
                }
                let left = bytes.len() - at;
                log::warn!("event=torn_tail file={} offset={at} bytes={left}", path.display());
                break;
            };
            if number != self.next_frame {
                let reason = format!("expected frame {}, found frame {number}", self.next_frame);
                return Err(fail(at, &reason));
            }
            let records: Vec<Record> = postcard::from_bytes(&bytes[payload.clone()])
                .map_err(|e| fail(at, &e.to_string()))?;
            for record in records {
                segment.last_index = segment.last_index.max(record.index().unwrap_or(0));
                self.apply_record(record).map_err(|reason| fail(at, reason))?;
            }
            self.next_frame += 1;
            at = payload.end;
        }
        segment.end = at as u64;
        self.segments.push(segment);
        Ok(())
    }

    fn apply_record(&mut self, record: Record) -> Result<(), &'static str> {
        match record {
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Reset(index) => {
                self.base = Base::Known(index);
                self.entries.clear();
            }
            Record::Entry(entry) => {
                let base = match self.base {
                    Base::Known(base) if entry.index <= base => {
                        return Err("entry replaces one that a snapshot covers");
                    }
                    Base::Inferred(base) if entry.index > base => base,
                    Base::Known(base) => base,
                    // An entry replaces all entries from its own index on. This one is the first
                    // that was read, or replaces all that were read; those before it are in
                    // removed segments.
                    Base::Unknown | Base::Inferred(_) => {
                        self.entries.clear();
                        self.base = Base::Inferred(entry.index - 1);
                        entry.index - 1
                    }
                };
                let kept = (entry.index - base - 1) as usize;
                if kept > self.entries.len() {
                    return Err("entries before this one are missing");
                }
                self.entries.truncate(kept);
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    /// The entries that follow a snapshot; `None` if the log ends before the snapshot's index or has
    /// an entry of another term there, as all its entries are then outdated.
    fn entries_after(
        &self,
        snapshot: Option<&Snapshot>,
        path: PathBuf,
    ) -> Result<Option<Vec<Entry>>> {
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
        Ok(agrees.then(|| self.entries[covered..].to_vec()))
    }
}

fn corrupt(path: PathBuf, offset: u64, reason: &str) -> Error {
    Error::Corrupt { step: "recover", path, offset, reason: reason.to_owned() }
}
