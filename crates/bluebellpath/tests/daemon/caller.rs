//! A caller that sees each byte.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest wait for bytes, after which a test fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// Response as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0 == name);
        found.map(|it| it.1.as_str())
    }

    pub fn closes(&self) -> bool {
        self.header("connection") == Some("close")
    }

    /// Field of a JSON body, as text.
    pub fn field(&self, name: &str) -> Option<String> {
        let body: serde_json::Value = serde_json::from_str(&self.body).ok()?;
        let field = body.get(name)?;
        Some(match field.as_str() {
            Some(text) => text.to_owned(),
            None => field.to_string(),
        })
    }
}

/// One connection.
pub struct Caller(BufReader<TcpStream>);

impl Caller {
    pub fn connect(address: SocketAddr) -> io::Result<Caller> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_nodelay(true)?;
        Ok(Caller(BufReader::new(stream)))
    }

    /// Sends bytes; an error here shows again when the answer is read.
    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.0.get_mut().write_all(bytes);
    }

    /// Says that no more bytes will come.
    pub fn finish(&mut self) {
        let _ = self.0.get_mut().shutdown(std::net::Shutdown::Write);
    }

    pub fn get(&mut self, path: &str) -> Reply {
        self.send(format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n").as_bytes());
        self.reply().expect("an answer")
    }

    pub fn request(&mut self, method: &str, path: &str, headers: &str, body: &str) {
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: test\r\n{headers}content-length: {length}\r\n\r\n"
        );
        self.send((head + body).as_bytes());
    }

    pub fn post(&mut self, path: &str, body: &str) -> Reply {
        self.request("POST", path, "", body);
        self.reply().expect("an answer")
    }

    /// Next response that is not informational; `None` at the end.
    pub fn reply(&mut self) -> Option<Reply> {
        loop {
            let reply = self.any_reply(false)?;
            if reply.status != 100 {
                return Some(reply);
            }
        }
    }

    /// Response to a HEAD, which has no body whatever its length says.
    pub fn head_reply(&mut self) -> Option<Reply> {
        self.any_reply(true)
    }

    /// Next response, informational ones included.
    pub fn any_reply(&mut self, headless: bool) -> Option<Reply> {
        let status_line = self.line()?;
        let status = status_line.split(' ').nth(1)?.parse().ok()?;
        let mut reply = Reply {
            status,
            ..Reply::default()
        };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            reply.headers.push(header);
        }
        let length = reply
            .header("content-length")
            .map_or(Some(0), |it| it.parse().ok())?;
        let mut body = vec![0; if headless { 0 } else { length }];
        self.0.read_exact(&mut body).ok()?;
        reply.body = String::from_utf8(body).ok()?;
        Some(reply)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.0.read_line(&mut line).ok()?;
        (read > 0).then(|| line.trim_end().to_owned())
    }
}

/// Job of one task that takes `run_ms`.
pub fn job(run_ms: u64) -> String {
    format!(
        r#"{{"team": "default", "deadline_ms": 15000, "tasks": [{{"caller": "crew", "kind": "quote", "payload": "{{\"run_ms\": {run_ms}}}"}}]}}"#
    )
}
