//! What a data directory keeps of the system's first start, until its instance belongs to a cluster.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::log::files::{self, Files};
use crate::error::{self, Error, Result};

const NAME: &str = "origin";

/// Shows that a data directory was in use in the first start of the system and has not been lost since.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Peer addresses of the seeds in the settings of that start. Later settings may list others, or
    /// the same in another order, and all instances must agree on the first one.
    pub seeds: Vec<SocketAddr>,
}

impl Origin {
    /// The origin of a data directory that holds `stored`, at a start with these settings.
    pub fn at_start(
        stored: Option<Origin>,
        first_start: bool,
        seeds: &[SocketAddr],
    ) -> Option<Origin> {
        stored.or_else(|| first_start.then(|| Origin { seeds: seeds.to_vec() }))
    }

    /// Makes the origin durable.
    pub fn store(&self, files: &dyn Files) -> Result<()> {
        let body = postcard::to_stdvec(self).expect("addresses serialise");
        files::replace(files, NAME, &[&crc32fast::hash(&body).to_le_bytes(), &body])
    }

    /// Loads the origin, if the data directory has one.
    pub fn load(files: &dyn Files) -> Result<Option<Origin>> {
        let path = files.path(NAME);
        let names = files.list().context(error::FileSnafu { step: "list", path: &path })?;
        if !names.iter().any(|name| name == NAME) {
            return Ok(None);
        }
        let bytes = files.read(NAME).context(error::FileSnafu { step: "origin", path: &path })?;
        let valid = bytes.len() > 4 && bytes[..4] == crc32fast::hash(&bytes[4..]).to_le_bytes();
        let origin = valid.then(|| postcard::from_bytes(&bytes[4..]).ok()).flatten();
        let reason = "file is truncated, or its checksum or content is invalid".to_owned();
        origin.map(Some).ok_or(Error::Corrupt { step: "origin", path, offset: 0, reason })
    }
}
