//! The durable log compared with an in-memory model under injected file faults, and its recovery
//! from damaged files.

use std::{
    collections::BTreeMap,
    fs, io,
    path::PathBuf,
    sync::{Arc, Mutex},
};

use briargauge::{
    error::Error,
    protocol::{
        id,
        wire::peer::{Entry, HardState, Member, Payload, SnapshotMeta},
    },
    state::{
        log::{
            Log, Record, Recovered,
            files::{Directory, Files, Handle},
        },
        snapshot::Snapshot,
    },
};
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tempfile::TempDir;

const NODE: id::Node = id::Node(3);

/// Files in memory. Bytes that were not synced are lost in a crash, or kept in part.
#[derive(Clone, Default)]
struct MemoryFiles(Arc<Mutex<Content>>);

#[derive(Default)]
struct Content {
    files: BTreeMap<String, File>,
    /// Files removed since the directory was last synced, each of which a crash may bring back.
    removed: BTreeMap<String, File>,
    /// Number of bytes that can be written before the disk is full; `None` for no limit.
    space: Option<usize>,
    fail_sync: bool,
    /// Number of changes that succeed before all others fail, as if the process had been killed;
    /// `None` for no limit.
    changes_left: Option<usize>,
}

impl Content {
    fn count_change(&mut self) -> io::Result<()> {
        match &mut self.changes_left {
            Some(0) => Err(io::Error::other("injected kill")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

#[derive(Default, Clone)]
struct File {
    bytes: Vec<u8>,
    synced: usize,
    /// Whether the directory was synced since the file got its name.
    named: bool,
}

struct OpenFile {
    name: String,
    memory: MemoryFiles,
    /// Set after an error: a failed sync may have dropped written bytes for good.
    failed: bool,
}

impl MemoryFiles {
    fn change<T>(&self, change: impl FnOnce(&mut Content) -> T) -> T {
        change(&mut self.0.lock().unwrap())
    }

    /// Simulates a crash: files without a synced name are lost, and so are unsynced bytes except
    /// the first `keep` of each file. The bits of `keep` say which removed files come back.
    fn crash(&self, keep: usize) {
        self.change(|content| {
            content.changes_left = None;
            let removed = std::mem::take(&mut content.removed);
            let restored =
                removed.into_iter().enumerate().filter(|(at, _)| keep >> (at % 8) & 1 == 1);
            for (_, (name, file)) in restored {
                content.files.entry(name).or_insert(file);
            }
            content.files.retain(|_, file| file.named);
            for file in content.files.values_mut() {
                let len = file.bytes.len().min(file.synced + keep);
                file.bytes.truncate(len);
                file.synced = len;
            }
        });
    }

    fn open(&self) -> Result<(Log, Recovered), Error> {
        Log::open(Box::new(self.clone()), NODE)
    }
}

impl Files for MemoryFiles {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.change(|content| content.files.keys().cloned().collect()))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.change(|content| content.files[name].bytes.clone()))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn Handle>> {
        self.change(|content| {
            content.count_change()?;
            content.files.insert(name.to_owned(), File::default());
            Ok::<_, io::Error>(())
        })?;
        Ok(Box::new(OpenFile { name: name.to_owned(), memory: self.clone(), failed: false }))
    }

    fn open(&self, name: &str, len: u64) -> io::Result<Box<dyn Handle>> {
        self.change(|content| {
            let file = content.files.get_mut(name).unwrap();
            file.bytes.truncate(len as usize);
            file.synced = len as usize;
        });
        Ok(Box::new(OpenFile { name: name.to_owned(), memory: self.clone(), failed: false }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.change(|content| {
            content.count_change()?;
            let file = content.files.remove(from).unwrap();
            assert_eq!(file.synced, file.bytes.len(), "{from} must be synced before it is renamed");
            content.files.insert(to.to_owned(), file);
            Ok(())
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.change(|content| {
            content.count_change()?;
            if let Some(file) = content.files.remove(name) {
                content.removed.insert(name.to_owned(), file);
            }
            Ok(())
        })
    }

    fn sync(&self) -> io::Result<()> {
        self.change(|content| {
            if content.fail_sync {
                return Err(io::Error::other("injected sync error"));
            }
            content.count_change()?;
            content.files.values_mut().for_each(|file| file.named = true);
            content.removed.clear();
            Ok(())
        })
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from("/memory").join(name)
    }
}

impl Handle for OpenFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        assert!(!self.failed, "a file is not used after an error");
        self.memory.change(|content| {
            content.count_change()?;
            let fits = content.space.map_or(bytes.len(), |space| space.min(bytes.len()));
            content.space = content.space.map(|space| space - fits);
            let file = content.files.get_mut(&self.name).unwrap();
            file.bytes.extend_from_slice(&bytes[..fits]);
            self.failed = fits < bytes.len();
            if self.failed { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
        })
    }

    fn sync(&mut self) -> io::Result<()> {
        assert!(!self.failed, "a file is not used after an error");
        self.memory.change(|content| {
            self.failed = content.fail_sync;
            if self.failed {
                return Err(io::Error::other("injected sync error"));
            }
            content.count_change()?;
            let file = content.files.get_mut(&self.name).unwrap();
            file.synced = file.bytes.len();
            Ok(())
        })
    }
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = Payload::Command(Bytes::from(vec![index as u8; 5 + index as usize % 40]));
    Entry { index, term, payload }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    let members: Vec<Member> = Vec::new();
    Snapshot { meta: SnapshotMeta { index, term, members }, data: Bytes::from_static(b"state") }
}

/// Expected content of the log.
#[derive(Debug, Clone, Default, PartialEq)]
struct Model {
    hard_state: HardState,
    base: (u64, u64),
    entries: Vec<Entry>,
}

impl Model {
    fn of(recovered: Recovered) -> Model {
        let base = recovered.snapshot.map_or((0, 0), |s| (s.meta.index, s.meta.term));
        Model { hard_state: recovered.hard_state, base, entries: recovered.entries }
    }

    fn last(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    fn term(&self, index: u64) -> u64 {
        let at = index - self.base.0;
        if at == 0 { self.base.1 } else { self.entries[at as usize - 1].term }
    }

    /// Appends `count` entries of a new term that replace the last `replaced` entries. Without new
    /// entries none is removed, as the log removes entries only by replacing them.
    fn append(&mut self, count: u8, replaced: u8) -> Vec<Record> {
        let replaced = if count == 0 { 0 } else { replaced };
        let kept = self.entries.len().saturating_sub(replaced.into());
        self.entries.truncate(kept);
        self.hard_state.term += 1;
        let mut records = vec![Record::HardState(self.hard_state)];
        for _ in 0..count {
            let entry = entry(self.last() + 1, self.hard_state.term);
            self.entries.push(entry.clone());
            records.push(Record::Entry(entry));
        }
        records
    }

    /// Compacts to an index that `at` selects, unless there are no entries.
    fn compact(&mut self, at: u8) -> Option<Snapshot> {
        let span = self.last() - self.base.0;
        let index = self.base.0 + 1 + u64::from(at).checked_rem(span)?;
        let term = self.term(index);
        self.entries.drain(..(index - self.base.0) as usize);
        self.base = (index, term);
        Some(snapshot(index, term))
    }

    /// Replaces all entries by a snapshot of a new term, `ahead` entries after the last one. No two
    /// snapshots have the same index.
    fn install(&mut self, ahead: u8) -> (Snapshot, Record) {
        self.hard_state.term += 1;
        let ahead = u64::from(ahead).max(u64::from(self.entries.is_empty()));
        self.base = (self.last() + ahead, self.hard_state.term);
        self.entries.clear();
        (snapshot(self.base.0, self.base.1), Record::HardState(self.hard_state))
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Append {
        count: u8,
        replaced: u8,
    },
    /// The disk is full after `space` more bytes, for one append.
    Full {
        count: u8,
        space: u8,
    },
    SyncError {
        count: u8,
        replaced: u8,
    },
    Compact(u8),
    Install(u8),
    Crash {
        keep: u8,
    },
    /// The process is killed after `changes` changes of files of a compaction.
    KillCompact {
        index: u8,
        changes: u8,
        keep: u8,
    },
    /// The same during the installation of a snapshot.
    KillInstall {
        ahead: u8,
        changes: u8,
        keep: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let (count, other) = (u8::arbitrary(g) % 6, u8::arbitrary(g));
        let (changes, keep) = (u8::arbitrary(g) % 12, u8::arbitrary(g));
        match u8::arbitrary(g) % 16 {
            0..5 => Step::Append { count, replaced: other % 4 },
            5 => Step::Full { count, space: other },
            6 => Step::SyncError { count, replaced: other % 4 },
            7..9 => Step::Compact(other),
            9 => Step::Install(count),
            10..12 => Step::Crash { keep: other },
            12..14 => Step::KillCompact { index: other, changes, keep },
            _ => Step::KillInstall { ahead: count, changes, keep },
        }
    }
}

/// Runs the steps on the log and on the model and compares both after each crash.
fn play(steps: Vec<Step>) -> bool {
    let memory = MemoryFiles::default();
    let (mut log, _) = memory.open().unwrap();
    let mut model = Model::default();
    for step in steps {
        match step {
            Step::Append { count, replaced } => {
                log.append(&model.append(count, replaced)).unwrap();
            }
            Step::Full { count, space } => {
                memory.change(|content| content.space = Some(space.into()));
                let records = model.append(count, 0);
                let appended = log.append(&records);
                memory.change(|content| content.space = None);
                if appended.is_err() {
                    log.append(&records).unwrap();
                }
            }
            Step::SyncError { count, replaced } => {
                let records = model.append(count, replaced);
                memory.change(|content| content.fail_sync = true);
                assert!(log.append(&records).is_err());
                memory.change(|content| content.fail_sync = false);
                log.append(&records).unwrap();
            }
            Step::Compact(a) => {
                if let Some(snapshot) = model.compact(a) {
                    log.compact(&snapshot).unwrap();
                }
            }
            Step::Install(ahead) => {
                let (snapshot, hard_state) = model.install(ahead);
                log.install(&snapshot, &[hard_state]).unwrap();
            }
            Step::KillCompact { index, changes, keep } => {
                let mut compacted = model.clone();
                let Some(snapshot) = compacted.compact(index) else { continue };
                memory.change(|content| content.changes_left = Some(changes.into()));
                let done = log.compact(&snapshot).is_ok();
                drop(log);
                memory.crash(keep.into());
                let (opened, recovered) = memory.open().unwrap();
                let recovered = Model::of(recovered);
                assert!(recovered == compacted || !done && recovered == model);
                (log, model) = (opened, recovered);
            }
            Step::KillInstall { ahead, changes, keep } => {
                let mut installed = model.clone();
                let (snapshot, hard_state) = installed.install(ahead);
                memory.change(|content| content.changes_left = Some(changes.into()));
                let done = log.install(&snapshot, &[hard_state]).is_ok();
                drop(log);
                memory.crash(keep.into());
                let (opened, recovered) = memory.open().unwrap();
                let recovered = Model::of(recovered);
                let snapshot_only = Model { hard_state: model.hard_state, ..installed.clone() };
                assert!(
                    recovered == installed
                        || !done && [&model, &snapshot_only].contains(&&recovered)
                );
                (log, model) = (opened, recovered);
            }
            Step::Crash { keep } => {
                drop(log);
                memory.crash(keep.into());
                let (opened, recovered) = memory.open().unwrap();
                assert_eq!(Model::of(recovered), model);
                log = opened;
            }
        }
    }
    drop(log);
    memory.crash(0);
    Model::of(memory.open().unwrap().1) == model
}

/// Guards against the loss of acknowledged records by a crash, a full disk or a failed sync.
#[test]
fn recovery_equals_the_model() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(3_000)
        .quickcheck(play as fn(Vec<Step>) -> bool);
}

/// Appends four batches in `directory`. Returns the segment file and its length after each batch.
fn write_batches(directory: &TempDir) -> (PathBuf, Vec<u64>) {
    let (mut log, _) = open(directory).unwrap();
    let mut model = Model::default();
    let path = directory.path().join(format!("{:020}.log", 1));
    let append = |count| {
        log.append(&model.append(count, 0)).unwrap();
        fs::metadata(&path).unwrap().len()
    };
    let ends = [2, 1, 3, 2].map(append).to_vec();
    (path, ends)
}

fn open(directory: &TempDir) -> Result<(Log, Recovered), Error> {
    Log::open(Box::new(Directory::open(directory.path())?), NODE)
}

/// Guards against a torn tail that prevents the start or drops complete batches.
#[test]
fn truncation_at_every_byte_keeps_the_whole_batches() {
    let directory = TempDir::new().unwrap();
    let (path, ends) = write_batches(&directory);
    let whole = fs::read(&path).unwrap();
    let mut model = Model::default();
    let mut states = vec![model.clone()];
    for count in [2, 1, 3, 2] {
        model.append(count, 0);
        states.push(model.clone());
    }
    for len in 0..=whole.len() {
        fs::write(&path, &whole[..len]).unwrap();
        let (mut log, recovered) = open(&directory).unwrap();
        let batches = ends.iter().filter(|end| **end <= len as u64).count();
        let mut expected = states[batches].clone();
        assert_eq!(Model::of(recovered), expected, "cut to {len} bytes");
        log.append(&expected.append(2, 1)).unwrap();
        drop(log);
        assert_eq!(Model::of(open(&directory).unwrap().1), expected, "append after cut to {len}");
    }
}

/// Guards against damage before the last frame being mistaken for a torn tail, which would silently
/// drop acknowledged records.
#[test]
fn damage_in_the_middle_is_refused_with_file_and_offset() {
    let directory = TempDir::new().unwrap();
    let (path, ends) = write_batches(&directory);
    let whole = fs::read(&path).unwrap();
    for at in 0..ends[2] {
        let mut bytes = whole.clone();
        bytes[at as usize] ^= 0x20;
        fs::write(&path, &bytes).unwrap();
        let Err(Error::Corrupt { path: named, offset, .. }) = open(&directory) else {
            panic!("damage at {at} is not detected");
        };
        let frame = ends.iter().rev().find(|end| **end <= at).copied();
        let frame = frame.unwrap_or(if at < 36 { 0 } else { 36 });
        assert_eq!((named, offset), (path.clone(), frame), "damage at {at}");
    }
    fs::remove_file(&path).unwrap();
    fs::write(directory.path().join(format!("{:020}.log", 2)), &whole).unwrap();
    assert!(matches!(open(&directory), Err(Error::Corrupt { .. })), "a segment is missing");
}

/// Guards against a start without a snapshot if its file is damaged or missing.
#[test]
fn damaged_and_missing_snapshots_are_refused() {
    let directory = TempDir::new().unwrap();
    let (mut log, _) = open(&directory).unwrap();
    let mut model = Model::default();
    log.append(&model.append(9, 0)).unwrap();
    log.install(&snapshot(40, 2), &[]).unwrap();
    drop(log);
    let path = directory.path().join(format!("snapshot-{:020}", 40));
    let whole = fs::read(&path).unwrap();
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x20;
        fs::write(&path, &bytes).unwrap();
        assert!(matches!(open(&directory), Err(Error::Corrupt { .. })), "damage at {at}");
    }
    fs::remove_file(&path).unwrap();
    assert!(matches!(open(&directory), Err(Error::Corrupt { .. })), "the snapshot is missing");
}

/// Guards against two processes in one data directory, and against the use of another node's
/// directory.
#[test]
fn a_directory_is_used_by_one_process_of_one_node() {
    let directory = TempDir::new().unwrap();
    let (log, first) = open(&directory).unwrap();
    assert!(matches!(open(&directory), Err(Error::File { step: "lock", .. })));
    drop(log);
    let (mut log, again) = open(&directory).unwrap();
    assert_eq!(first.id, again.id);
    let renewed = log.renew_disk_id().unwrap();
    drop(log);
    assert_ne!(first.id.disk, renewed.disk);
    assert_eq!(open(&directory).unwrap().1.id, renewed);
    let other = Log::open(Box::new(Directory::open(directory.path()).unwrap()), id::Node(4));
    assert!(matches!(other, Err(Error::Corrupt { .. })));
    let other = TempDir::new().unwrap();
    assert_ne!(open(&other).unwrap().1.id.disk, renewed.disk);
}

/// Guards against a log that cannot be read any more, or loses what was appended, after a crash
/// between the two writes of a snapshot installation: the snapshot is stored, but the log still
/// ends before it or holds entries that conflict with it.
#[test]
fn a_crash_during_a_snapshot_installation_leaves_no_outdated_entries() {
    for index in [5, 12] {
        let memory = MemoryFiles::default();
        let (mut log, _) = memory.open().unwrap();
        let mut model = Model::default();
        log.append(&model.append(9, 0)).unwrap();
        drop(log);
        snapshot(index, 2).store(&memory).unwrap();
        for restart in 0..3 {
            let (_, recovered) = memory.open().unwrap();
            let found = (recovered.entries, recovered.hard_state);
            assert_eq!(found, (Vec::new(), model.hard_state), "snapshot {index}, start {restart}");
        }
        // A replica goes on at the snapshot and does not install it again.
        let (mut log, _) = memory.open().unwrap();
        let next = [1, 2].map(|after| entry(index + after, 3));
        for entry in &next {
            log.append(&[Record::Entry(entry.clone())]).unwrap();
        }
        drop(log);
        assert_eq!(memory.open().unwrap().1.entries, next, "snapshot {index}");
    }
}

/// Guards against segments that are never removed, and against the loss of the hard state together
/// with the first segment.
#[test]
fn compaction_removes_segments_and_keeps_the_hard_state() {
    let memory = MemoryFiles::default();
    let (mut log, _) = memory.open().unwrap();
    let payload = |index: u64| Entry {
        payload: Payload::Command(Bytes::from(vec![1; 1 << 20])),
        ..entry(index, 1)
    };
    let hard_state = HardState { cluster: Some(1), term: 7, vote: None };
    log.append(&[Record::HardState(hard_state)]).unwrap();
    for index in 1..=40 {
        log.append(&[Record::Entry(payload(index))]).unwrap();
    }
    assert!(log.bytes() > 40 << 20);
    log.compact(&snapshot(40, 1)).unwrap();
    assert!(log.bytes() <= 17 << 20, "{} bytes are left", log.bytes());
    drop(log);
    let recovered = memory.open().unwrap().1;
    assert_eq!((recovered.entries, recovered.hard_state), (Vec::new(), hard_state));
}
