//! Counts the starts of each attempt, across restarts of the process if there is a file.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fs::{File, OpenOptions},
    io::{BufRead, BufReader, Write},
    path::Path,
};

use snafu::ResultExt;

use crate::error::{self, Result};

/// Number of starts of each attempt id.
pub struct Starts {
    counts: RefCell<BTreeMap<String, u64>>,
    file: Option<RefCell<File>>,
}

impl Starts {
    /// Reads the starts that are in the file, if one is given. Later starts are appended to it.
    pub fn new(path: Option<&Path>) -> Result<Starts> {
        let mut counts = BTreeMap::new();
        let Some(path) = path else {
            return Ok(Starts { counts: RefCell::new(counts), file: None });
        };
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .read(true)
            .open(path)
            .context(error::FileSnafu { step: "open starts", path })?;
        for line in BufReader::new(&file).lines() {
            let line = line.context(error::FileSnafu { step: "read starts", path })?;
            let attempt = line.split(' ').next().unwrap_or_default().to_owned();
            *counts.entry(attempt).or_default() += 1;
        }
        Ok(Starts { counts: RefCell::new(counts), file: Some(RefCell::new(file)) })
    }

    /// Counts a start, in the file first. The line in the file also has the tag that the caller
    /// gave the task. It shows whether a task was started by more than one execution, whose attempt
    /// ids differ.
    pub fn add(&self, attempt: &str, tag: Option<&str>) {
        let line = match tag {
            Some(tag) => format!("{attempt} {tag}\n"),
            None => format!("{attempt}\n"),
        };
        if let Some(file) = &self.file
            && let Err(e) = file.borrow_mut().write_all(line.as_bytes())
        {
            log::error!("event=starts_file_failed error={e:?}");
        }
        *self.counts.borrow_mut().entry(attempt.to_owned()).or_default() += 1;
    }

    /// The number of starts of each attempt id, as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(&*self.counts.borrow()).unwrap_or_default()
    }
}
