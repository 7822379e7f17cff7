//! The error type of the crate. Each error names the step that failed and, if there is one, the
//! peer or file concerned.

use std::{io, net::SocketAddr, path::PathBuf};

use snafu::Snafu;

/// Result with [`Error`] as its default error type.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error with the step that failed and the peer or file concerned.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A network operation failed.
    #[snafu(display("step={step} peer={peer}: {source}"))]
    Net { step: &'static str, peer: SocketAddr, source: io::Error },

    /// A remote call got no response.
    #[snafu(display("step={step} peer={peer}: {source}"))]
    Rpc { step: &'static str, peer: SocketAddr, source: tarpc::client::RpcError },

    /// A peer answered with a refusal.
    #[snafu(display("step={step} peer={peer}: {reason}"))]
    Refused { step: &'static str, peer: SocketAddr, reason: String },

    /// A file operation failed.
    #[snafu(display("step={step} file={}: {source}", path.display()))]
    File { step: &'static str, path: PathBuf, source: io::Error },

    /// The content of a file is not as expected.
    #[snafu(display("step={step} file={} offset={offset}: {reason}", path.display()))]
    Corrupt { step: &'static str, path: PathBuf, offset: u64, reason: String },

    /// A settings file cannot be parsed, or a value in it is not valid.
    #[snafu(display("step=settings file={} key={key}: {reason}", path.display()))]
    Settings { path: PathBuf, key: String, reason: String },

    /// Input from a user or a caller is not valid.
    #[snafu(display("step={step} at={at}: {reason}"))]
    Input { step: &'static str, at: String, reason: String },

    /// The command line is not valid.
    #[snafu(display("{reason}"))]
    Usage { reason: String },
}
