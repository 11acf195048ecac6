//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or status line.
    pub first: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    fn length(&self) -> usize {
        self.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message. Returns `None` at the end of the stream.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<(Head, Vec<u8>)>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() && head.first.is_empty() {
            continue;
        }
        if line.is_empty() {
            break;
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut body = vec![0; head.length()];
    stream.read_exact(&mut body)?;
    Ok(Some((head, body)))
}

/// Encodes a response with a body.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// A client connection that is kept for several requests.
pub struct Connection {
    pub stream: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self { stream: BufReader::new(stream) })
    }

    /// Sends a request and reads its response. `None` is a connection that ended without one.
    pub fn exchange(&mut self, request: &[u8]) -> io::Result<Option<(Head, Vec<u8>)>> {
        self.stream.get_mut().write_all(request)?;
        read(&mut self.stream)
    }
}

/// Makes one call over a connection of its own.
pub fn call(to: SocketAddr, request: &[u8], timeout: Duration) -> Option<(Head, Vec<u8>)> {
    Connection::open(to, timeout).ok()?.exchange(request).ok().flatten()
}

/// Encodes a request with a body.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    if method != "GET" || !body.is_empty() {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}
