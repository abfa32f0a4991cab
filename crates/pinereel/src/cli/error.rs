//! Errors of commands and their exit codes.

use super::ExitCode;
use crate::{entry, hosted, settings};
use compact_str::CompactString;
use pinereel_api::problem::{Code, Problem, Ran};
use std::{io, net::SocketAddr, path::PathBuf};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("{0} (see pinereel --help)")]
    Usage(CompactString),
    /// The settings could not be loaded or are invalid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A file named on the command line is unreadable or invalid.
    #[error("{}: expected {expected}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Description of a valid file.
        expected: CompactString,
    },
    /// The entry ended with an error.
    #[error("entry: {0}")]
    Entry(entry::Error),
    /// The hosted instance ended with an error.
    #[error("instance: {0}")]
    Hosted(hosted::Error),
    /// No connection to the entry, so the request was not sent.
    #[error("{address}: not reached: {reason}")]
    Unreachable {
        /// Address of the entry's operators' listener.
        address: SocketAddr,
        /// Error of the HTTP client.
        reason: CompactString,
    },
    /// The request may have been sent, but no complete response arrived.
    #[error("{address}: no answer: {reason}{}", if *.mutating { "; it may or may not have been done" } else { "" })]
    NoResponse {
        /// Address of the entry's operators' listener.
        address: SocketAddr,
        /// Error of the HTTP client.
        reason: CompactString,
        /// Whether the request may have changed state.
        mutating: bool,
    },
    /// The entry responded with an error.
    #[error("{} ({:?})", problem.message, problem.code)]
    Problem {
        /// The error response.
        problem: Problem,
        /// Whether the request may have changed state.
        mutating: bool,
    },
    /// The response has an unexpected format.
    #[error("unexpected answer {status}: {reason}")]
    UnexpectedResponse {
        /// HTTP status of the response.
        status: u16,
        /// Why the response could not be parsed.
        reason: CompactString,
        /// Whether the request may have changed state.
        mutating: bool,
    },
    /// The result could not be written, or the runtime failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string().into())
    }
}

impl Error {
    /// Exit code for the error.
    pub const fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::Settings(_) | Self::File { .. } => ExitCode::Usage,
            Self::Entry(_) | Self::Hosted(_) | Self::Unreachable { .. } | Self::Io(_) => {
                ExitCode::Failed
            }
            Self::NoResponse { mutating, .. } | Self::UnexpectedResponse { mutating, .. } => {
                unknown_or_failed(*mutating)
            }
            Self::Problem { problem, mutating } => match problem.code {
                Code::Conflict | Code::InvalidPatch | Code::NotConfirmed => ExitCode::Refused,
                _ => unknown_or_failed(*mutating && matches!(problem.ran, Ran::Unknown)),
            },
        }
    }

    /// The error as text, or the entry's JSON error response if `json` is set and there is one.
    pub(super) fn render(&self, json: bool) -> String {
        match self {
            Self::Problem { problem, .. } if json => {
                serde_json::to_string(problem).unwrap_or_else(|_| self.to_string())
            }
            _ => format!("pinereel: {self}"),
        }
    }
}

const fn unknown_or_failed(unknown: bool) -> ExitCode {
    if unknown {
        ExitCode::Unknown
    } else {
        ExitCode::Failed
    }
}
