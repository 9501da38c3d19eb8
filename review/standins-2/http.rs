//! HTTP/1.1, as far as the stand-ins need it: a thread for each connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    /// Decoded parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| decode(it.1))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = text.get(index + 1..index + 3);
        let code = code.and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[index], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                index += 3;
            }
            (it, _) => {
                decoded.push(it);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

pub struct Response {
    pub status: u16,
    pub body: String,
}

pub fn response(status: u16, body: String) -> Response {
    Response { status, body }
}

/// Server on one address, which lives as long as this process.
pub struct Server {
    pub address: SocketAddr,
}

type Handler = dyn Fn(Request) -> Option<Response> + Send + Sync;

impl Server {
    /// Serves `address`; a handler that returns nothing ends the connection.
    pub fn start(address: &str, handler: Arc<Handler>) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let handler = handler.clone();
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(Server { address })
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some(response) = handler(request) else {
            let _ = writer.shutdown(std::net::Shutdown::Both);
            return;
        };
        let message = format!(
            "HTTP/1.1 {} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            response.status,
            response.body.len(),
            response.body
        );
        if writer.write_all(message.as_bytes()).is_err() {
            return;
        }
    }
}

type Head = (String, Vec<(String, String)>, Vec<u8>);

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let length = headers
        .iter()
        .find(|it| it.0.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|it| it.1.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, body))
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers, body) = read_message(reader)?;
    let mut words = first.split(' ');
    words.next()?;
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Some(Request {
        path: decode(path),
        query: query.to_owned(),
        headers,
        body,
    })
}

/// Sends one request on a new connection and waits for the answer; the status is 0
/// without one.
pub fn call(
    address: SocketAddr,
    (method, host, path): (&str, &str, &str),
    body: &str,
    deadline_ms: u64,
) -> Response {
    exchange(address, (method, host, path), body, deadline_ms).unwrap_or(response(0, String::new()))
}

fn exchange(
    address: SocketAddr,
    (method, host, path): (&str, &str, &str),
    body: &str,
    deadline_ms: u64,
) -> Option<Response> {
    let wait = Duration::from_millis(deadline_ms);
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let _ = stream.set_nodelay(true);
    let message = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(message.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, _, body) = read_message(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some(response(
        status,
        String::from_utf8_lossy(&body).into_owned(),
    ))
}
