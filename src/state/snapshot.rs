//! Snapshot files. A snapshot is the replicated state at a log position.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::{
    error::{self, Error, Result},
    protocol::wire::peer::SnapshotMeta,
    state::log::files::{self, Files},
};

const PREFIX: &str = "snapshot-";
/// Names the format of the state, too: the data of another format is refused, not misread.
const MAGIC: &[u8; 8] = b"bgsnap03";

/// Replicated state that replaces all entries up to `meta.index`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub meta: SnapshotMeta,
    /// Serialised state machine.
    pub data: Bytes,
}

impl Snapshot {
    /// Makes the snapshot durable and removes older ones.
    pub fn store(&self, files: &dyn Files) -> Result<()> {
        let body = postcard::to_stdvec(self).expect("snapshots serialise");
        let crc = crc32fast::hash(&body).to_le_bytes();
        let name = format!("{PREFIX}{:020}", self.meta.index);
        files::replace(files, &name, &[MAGIC, &crc, &body])?;
        for old in snapshot_names(files)?.into_iter().filter(|old| *old < name) {
            files
                .remove(&old)
                .context(error::FileSnafu { step: "remove", path: files.path(&old) })?;
        }
        Ok(())
    }

    /// Loads the newest snapshot in a data directory.
    pub fn load(files: &dyn Files) -> Result<Option<Snapshot>> {
        let Some(name) = snapshot_names(files)?.into_iter().max() else { return Ok(None) };
        let path = files.path(&name);
        let bytes =
            files.read(&name).context(error::FileSnafu { step: "read_snapshot", path: &path })?;
        let corrupt = |offset: u64, reason: &str| Error::Corrupt {
            step: "read_snapshot",
            path: path.clone(),
            offset,
            reason: reason.to_owned(),
        };
        if bytes.len() < 12 || bytes[..8] != *MAGIC {
            return Err(corrupt(0, "not a snapshot file"));
        }
        if bytes[8..12] != crc32fast::hash(&bytes[12..]).to_le_bytes() {
            return Err(corrupt(12, "checksum does not match"));
        }
        postcard::from_bytes(&bytes[12..]).map(Some).map_err(|e| corrupt(12, &e.to_string()))
    }
}

fn snapshot_names(files: &dyn Files) -> Result<Vec<String>> {
    let names =
        files.list().context(error::FileSnafu { step: "list", path: files.path(PREFIX) })?;
    let is_snapshot = |name: &String| {
        name.strip_prefix(PREFIX)
            .is_some_and(|n| n.len() == 20 && n.bytes().all(|b| b.is_ascii_digit()))
    };
    Ok(names.into_iter().filter(is_snapshot).collect())
}
