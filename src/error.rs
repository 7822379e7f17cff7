//! The error type of the crate. Each error names the step that failed and, where there is one,
//! the peer or file at which it arose.

use std::{io, net::SocketAddr, path::PathBuf};

use snafu::Snafu;

/// Result with the crate's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error with the step and the peer or file at which it arose.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A network operation failed.
    #[snafu(display("step={step} peer={peer}: {source}"))]
    Net { step: &'static str, peer: SocketAddr, source: io::Error },

    /// A remote call got no answer.
    #[snafu(display("step={step} peer={peer}: {source}"))]
    Rpc { step: &'static str, peer: SocketAddr, source: tarpc::client::RpcError },

    /// A peer answered with a refusal.
    #[snafu(display("step={step} peer={peer}: {reason}"))]
    Refused { step: &'static str, peer: SocketAddr, reason: String },

    /// A file operation failed.
    #[snafu(display("step={step} file={}: {source}", path.display()))]
    File { step: &'static str, path: PathBuf, source: io::Error },

    /// A file holds something other than expected.
    #[snafu(display("step={step} file={} offset={offset}: {reason}", path.display()))]
    Corrupt { step: &'static str, path: PathBuf, offset: u64, reason: String },

    /// A settings file does not parse, or a value in it is impossible.
    #[snafu(display("step=settings file={} key={key}: {reason}", path.display()))]
    Settings { path: PathBuf, key: String, reason: String },

    /// Input from a person or a caller is not valid.
    #[snafu(display("step={step} at={at}: {reason}"))]
    Input { step: &'static str, at: String, reason: String },

    /// The command line does not parse.
    #[snafu(display("{reason}"))]
    Usage { reason: String },
}
