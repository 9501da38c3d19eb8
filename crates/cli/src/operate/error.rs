//! Why a command failed.

use std::{net::SocketAddr, process::ExitCode};

use bluebellpath::{admin, http, job::Outcome};
use derive_more::{Display, Error};

/// Exit code when it is not known whether a change was accepted.
const UNKNOWN: u8 = 2;

/// Exit code when others changed the configuration first.
const LOST: u8 = 3;

/// HTTP status of a lost race.
const PRECONDITION_FAILED: u16 = 412;

/// Why a command failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No entry instance was reached.
    #[display("{peer}: {error}")]
    Unreachable {
        /// Last instance that was tried.
        peer: SocketAddr,
        /// What happened there.
        error: http::Error,
    },
    /// The instance answered with a problem.
    #[display("{}", problem.problem.detail)]
    Problem {
        /// Problem.
        #[error(not(source))]
        problem: Box<admin::Problem>,
    },
    /// The instance answered something else than it should.
    #[display("{peer}: answer not understood: {detail}")]
    Malformed {
        /// Instance.
        peer: SocketAddr,
        /// Cause, for people.
        detail: String,
    },
    /// A file can't be used.
    #[display("{path}: {detail}")]
    File {
        /// File.
        path: String,
        /// Cause, for people.
        detail: String,
    },
}

impl Error {
    /// Code with which the tool ends.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Error::Problem { problem } if problem.problem.outcome == Outcome::Unknown => {
                ExitCode::from(UNKNOWN)
            }
            Error::Problem { problem } if problem.problem.status == PRECONDITION_FAILED => {
                ExitCode::from(LOST)
            }
            Error::Unreachable { error, .. } if error.sent => ExitCode::from(UNKNOWN),
            _ => ExitCode::FAILURE,
        }
    }
}
