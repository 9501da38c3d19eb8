//! What threads and the process use, as the kernel counts it.

use std::{fs, io, path::PathBuf, time::Duration};

/// Size of a page in bytes.
const PAGE_BYTES: u64 = 4096;

/// Counter of one thread's processor time.
pub struct Cpu(PathBuf);

impl Cpu {
    /// Counter of the calling thread.
    pub fn current() -> io::Result<Cpu> {
        let thread = fs::read_link("/proc/thread-self")?;
        Ok(Cpu(PathBuf::from("/proc").join(thread).join("schedstat")))
    }

    /// Processor time of the thread so far.
    pub fn used(&self) -> io::Result<Duration> {
        let text = fs::read_to_string(&self.0)?;
        Ok(Duration::from_nanos(first(&text)))
    }
}

/// Resident set of this process in bytes.
pub fn resident() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    Ok(pages.map_or(0, first) * PAGE_BYTES)
}

fn first(text: &str) -> u64 {
    let number = text.split_whitespace().next();
    number.and_then(|it| it.parse().ok()).unwrap_or(0)
}
