//! Blocking HTTP/1.1 on both sides, with one thread for each connection.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    pub fn parameter(&self, name: &str) -> &str {
        let found = self.query.iter().find(|it| it.0 == name);
        found.map_or("", |it| it.1.as_str())
    }
}

pub type Reply = (u16, String);
pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Server that can be closed with all of its connections, as by the end of a process.
pub struct Server {
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<(Server, SocketAddr)> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_closed, accepted) = (closed.clone(), streams.clone());
        thread::spawn(move || {
            while !is_closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            accepted.lock().unwrap().push(copy);
                        }
                        let handler = handler.clone();
                        thread::spawn(move || serve(stream, &handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok((Server { closed, streams }, address))
    }

    /// Stops listening and leaves the connections open, as nobody hears of an end that
    /// comes behind a cut.
    pub fn abandon(&self) {
        self.closed.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
    }

    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        let (status, body) = handler(request);
        // No answer: the channel ends.
        if status == 0 {
            break;
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<(String, String)> {
    let mut chunk = [0; 16_384];
    loop {
        if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse().ok())?
            });
            let total = end + 4 + length.unwrap_or(0_usize);
            if buffer.len() >= total {
                let body = String::from_utf8_lossy(&buffer[end + 4..total]).into_owned();
                buffer.drain(..total);
                return Ok((head, body));
            }
        }
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => buffer.extend_from_slice(&chunk[..read]),
        }
    }
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let (head, body) = read_message(stream, buffer).ok()?;
    let mut lines = head.lines();
    let mut words = lines.next()?.split(' ');
    let target = words.nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|it| it.split_once('='));
    let query = query.map(|it| (it.0.to_owned(), decode(it.1))).collect();
    let headers = lines.filter_map(|it| it.split_once(':'));
    let headers = headers
        .map(|it| (it.0.to_owned(), it.1.trim().to_owned()))
        .collect();
    Some(Request {
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends one request on a connection of its own. An error is a broken channel, or no
/// answer within `timeout`.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all((head + body).as_bytes())?;
    let (head, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
    Ok((status.unwrap_or(0), body))
}
