//! Requests for a planned stop.

use std::{io, os::unix::net::UnixStream as StdStream};

use monoio::{io::AsyncReadRent, net::UnixStream};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    low_level::pipe,
};

/// Requests for a planned stop, one byte each on a pipe.
///
/// A signal handler may do no more than write to a descriptor, and a test in
/// another thread can do the same.
pub struct Stops(UnixStream);

impl Stops {
    /// Requests that come as SIGTERM or SIGINT.
    pub fn signals() -> io::Result<Stops> {
        let (read, write) = StdStream::pair()?;
        pipe::register(SIGTERM, write.try_clone()?)?;
        pipe::register(SIGINT, write)?;
        Stops::pipe(read)
    }

    /// Requests that come as SIGHUP, to read the settings again.
    pub fn reloads() -> io::Result<Stops> {
        let (read, write) = StdStream::pair()?;
        pipe::register(SIGHUP, write)?;
        Stops::pipe(read)
    }

    /// Requests that come as bytes on `read`.
    pub fn pipe(read: StdStream) -> io::Result<Stops> {
        read.set_nonblocking(true)?;
        UnixStream::from_std(read).map(Stops)
    }

    /// Waits for the next request; for ever once the other end is closed.
    pub async fn next(&mut self) {
        let (result, _) = self.0.read(Vec::with_capacity(1)).await;
        if !matches!(result, Ok(1)) {
            std::future::pending::<()>().await;
        }
    }
}
