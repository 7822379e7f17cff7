//! Settings files: JSON with comments, in which unknown keys are errors.

use std::{fs, io::Read, path::Path};

use json_comments::StripComments;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{self, Result};

/// Settings of one process.
pub trait Settings: DeserializeOwned {
    /// Checks for values that have the right type but are not valid.
    ///
    /// The error is the path of the key and the reason why its value is not valid.
    fn check(&self) -> Result<(), (String, String)>;
}

/// Reads, parses and checks the settings file at `path`.
pub fn load<S: Settings>(path: &Path) -> Result<S> {
    let text =
        fs::read_to_string(path).context(error::FileSnafu { step: "read settings", path })?;
    parse(path, &text)
}

/// Parses and checks settings. `path` is used only in errors.
pub fn parse<S: Settings>(path: &Path, text: &str) -> Result<S> {
    let fail = |key: String, reason: String| error::SettingsSnafu { path, key, reason }.build();
    let mut plain = String::new();
    StripComments::new(text.as_bytes())
        .read_to_string(&mut plain)
        .map_err(|e| fail(".".into(), e.to_string()))?;
    let mut json = serde_json::Deserializer::from_str(&plain);
    let settings: S = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| fail(e.path().to_string(), e.inner().to_string()))?;
    json.end().map_err(|e| fail(".".into(), e.to_string()))?;
    settings.check().map_err(|(key, reason)| fail(key, reason))?;
    Ok(settings)
}
