//! Where a shared key comes from.

use std::{env, fs, path::PathBuf};

use super::Error;

/// Where a shared key comes from; settings never hold the key itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// File that holds the key.
    File(PathBuf),
    /// Environment variable that holds the key.
    Variable(String),
}

impl KeySource {
    /// Fewest bytes of a key.
    pub const MIN_BYTES: usize = 16;

    /// Reads the key, without white space around it.
    pub fn read(&self) -> Result<Vec<u8>, Error> {
        let (path, text) = match self {
            KeySource::File(path) => {
                let text = fs::read_to_string(path).map_err(|it| it.to_string());
                (path.display().to_string(), text)
            }
            KeySource::Variable(name) => {
                (name.clone(), env::var(name).map_err(|it| it.to_string()))
            }
        };
        let fits = |it: String| match it.trim() {
            it if it.len() < KeySource::MIN_BYTES => {
                let min = KeySource::MIN_BYTES;
                Err(format!(
                    "the key has {} bytes, allowed: {min} or more",
                    it.len()
                ))
            }
            it => Ok(it.as_bytes().to_vec()),
        };
        text.and_then(fits)
            .map_err(|detail| Error::Read { path, detail })
    }
}
