//! The files of one data folder, behind a trait so that tests can make them fail.

use std::{
    fs, io,
    io::Write,
    path::{Path, PathBuf},
};

use snafu::ResultExt;

use crate::error::{self, Error, Result};

/// Held locked for as long as a process uses the folder.
const LOCK: &str = "lock";

/// The files of a data folder, by name.
pub trait Files: Send + Sync {
    /// Names of the files in no particular order.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Makes a new empty file in place of any of that name.
    fn create(&self, name: &str) -> io::Result<Box<dyn Handle>>;
    /// Cuts a file to `len` bytes, syncs that and opens it for appending.
    fn open(&self, name: &str, len: u64) -> io::Result<Box<dyn Handle>>;
    /// Gives a file another name, in place of any file of that name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes creations, renames and removals durable.
    fn sync(&self) -> io::Result<()>;
    /// Where a file lies, for messages.
    fn path(&self, name: &str) -> PathBuf;
}

/// A file open for appending.
pub trait Handle: Send {
    /// Appends all of `bytes`; after an error any part of them may have been written.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes what was written durable. After an error the file must not be used any more: the
    /// kernel may have dropped the pages and would report success for a second sync.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the file system that no other process uses.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    _lock: fs::File,
}

impl Folder {
    /// Makes the folder if it is not there. Fails if another process uses it.
    pub fn open(path: &Path) -> Result<Folder> {
        fs::create_dir_all(path).context(error::FileSnafu { step: "create_folder", path })?;
        let lock_path = path.join(LOCK);
        let lock = fs::File::create(&lock_path)
            .context(error::FileSnafu { step: "lock", path: &lock_path })?;
        lock.try_lock().map_err(|e| Error::File {
            step: "lock",
            path: lock_path,
            source: match e {
                fs::TryLockError::Error(e) => e,
                fs::TryLockError::WouldBlock => {
                    io::Error::new(io::ErrorKind::WouldBlock, "another process uses the folder")
                }
            },
        })?;
        Ok(Folder { path: path.to_path_buf(), _lock: lock })
    }
}

impl Files for Folder {
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

/// Writes a file under a temporary name, syncs it and gives it its name.
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
        // On a full disk the remains would take the space that the log needs.
        let _ = files.remove(&temporary);
    }
    written.context(error::FileSnafu { step: "replace", path: files.path(name) })
}

/// Ends the names of files that are still being written.
pub(crate) const TEMPORARY: &str = ".tmp";
