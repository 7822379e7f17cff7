//! File access in one data directory, behind a trait so that tests can inject faults.

use std::{
    fs, io,
    io::Write,
    path::{Path, PathBuf},
};

use snafu::ResultExt;

use crate::error::{self, Error, Result};

/// File that a process keeps locked while it uses the data directory.
const LOCK: &str = "lock";

/// The files of a data directory, by name.
pub trait Files: Send + Sync {
    /// Returns the names of all files, in no particular order.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Returns the whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file for appending and replaces any file of that name.
    fn create(&self, name: &str) -> io::Result<Box<dyn Handle>>;
    /// Opens a file for appending. If its length is not `len`, sets it to `len` and syncs the file
    /// first.
    fn open(&self, name: &str, len: u64) -> io::Result<Box<dyn Handle>>;
    /// Renames a file and replaces any file of the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Syncs the directory itself: makes creations, renames and removals durable.
    fn sync(&self) -> io::Result<()>;
    /// Path of a file, for messages.
    fn path(&self, name: &str) -> PathBuf;
}

/// A file open for appending.
pub trait Handle: Send {
    /// Appends all of `bytes`. After an error, any number of them may have been written.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes everything written so far durable. After an error the file must not be used any more:
    /// the kernel may have dropped the unwritten pages and would report success for a second sync.
    fn sync(&mut self) -> io::Result<()>;
}

/// A locked directory of the file system; no other process can open it.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    _lock: fs::File,
}

impl Directory {
    /// Locks the directory, which is created if missing. Fails if another process has locked it.
    pub fn open(path: &Path) -> Result<Directory> {
        fs::create_dir_all(path).context(error::FileSnafu { step: "create_folder", path })?;
        let lock_path = path.join(LOCK);
        let lock = fs::File::create(&lock_path)
            .context(error::FileSnafu { step: "lock", path: &lock_path })?;
        lock.try_lock().map_err(|e| Error::File {
            step: "lock",
            path: lock_path,
            source: match e {
                fs::TryLockError::Error(e) => e,
                fs::TryLockError::WouldBlock => io::Error::new(
                    io::ErrorKind::WouldBlock,
                    "another process uses the data directory",
                ),
            },
        })?;
        Ok(Directory { path: path.to_path_buf(), _lock: lock })
    }
}

impl Files for Directory {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path(name))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn Handle>> {
        Ok(Box::new(fs::File::create(self.path(name))?))
    }

    fn open(&self, name: &str, len: u64) -> io::Result<Box<dyn Handle>> {
        let file = fs::OpenOptions::new().append(true).open(self.path(name))?;
        if file.metadata()?.len() != len {
            file.set_len(len)?;
            file.sync_all()?;
        }
        Ok(Box::new(file))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path(name))
    }

    fn sync(&self) -> io::Result<()> {
        fs::File::open(&self.path)?.sync_all()
    }

    fn path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Handle for fs::File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Replaces a file atomically: writes a temporary file, syncs it and renames it to `name`.
pub(crate) fn replace(files: &dyn Files, name: &str, parts: &[&[u8]]) -> Result<()> {
    let temporary = format!("{name}{TEMPORARY}");
    let write = || {
        let mut handle = files.create(&temporary)?;
        for part in parts {
            handle.write(part)?;
        }
        handle.sync()?;
        files.rename(&temporary, name)?;
        files.sync()
    };
    let written = write();
    if written.is_err() {
        // On a full disk, an incomplete file would occupy space that the log needs.
        let _ = files.remove(&temporary);
    }
    written.context(error::FileSnafu { step: "replace", path: files.path(name) })
}

/// Suffix of files that are not completely written yet.
pub(crate) const TEMPORARY: &str = ".tmp";
