//! Source of the shared key.

use std::{env, fmt, fs, path::PathBuf};

use super::Error;

/// Source of the shared key.
#[derive(Clone, PartialEq, Eq)]
pub enum KeySource {
    /// The key itself.
    Inline(String),
    /// File that holds the key.
    File(PathBuf),
    /// Environment variable that holds the key.
    Variable(String),
}

impl fmt::Debug for KeySource {
    /// Formats the source without the key itself.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeySource::Inline(_) => f.debug_tuple("Inline").finish_non_exhaustive(),
            KeySource::File(path) => f.debug_tuple("File").field(path).finish(),
            KeySource::Variable(name) => f.debug_tuple("Variable").field(name).finish(),
        }
    }
}

impl KeySource {
    /// Minimum length of a key, in bytes.
    pub const MIN_BYTES: usize = 12;

    /// Reads the key and trims white space around it.
    pub fn read(&self) -> Result<String, Error> {
        let (path, text) = match self {
            KeySource::Inline(key) => ("key".to_owned(), Ok(key.clone())),
            KeySource::File(path) => {
                let text = fs::read_to_string(path).map_err(|it| it.to_string());
                (path.display().to_string(), text)
            }
            KeySource::Variable(name) => {
                let text = env::var(name).map_err(|it| it.to_string());
                (name.clone(), text)
            }
        };
        text.and_then(|it| check_length(it.trim()))
            .map_err(|detail| Error::Read { path, detail })
    }
}

fn check_length(key: &str) -> Result<String, String> {
    if key.len() >= KeySource::MIN_BYTES {
        return Ok(key.to_owned());
    }
    let (len, min) = (key.len(), KeySource::MIN_BYTES);
    Err(format!("the key has {len} bytes, allowed: {min} or more"))
}
