//! A minimal HTTP/1.1 server and client on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map_or(String::new(), |(_, v)| v.to_owned())
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }
}

/// Reads one message with a length. `Ok(None)` is an end before its first byte.
pub fn read_message(s: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0_u8; 65_536];
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        let n = s.read(&mut chunk)?;
        if n == 0 {
            let cut = io::Error::new(io::ErrorKind::UnexpectedEof, "cut in the head");
            return if buf.is_empty() { Ok(None) } else { Err(cut) };
        }
        buf.extend_from_slice(&chunk[..n]);
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut m = Message { first: lines.next().unwrap_or("").to_owned(), ..Message::default() };
    for line in lines {
        if let Some((n, v)) = line.split_once(':') {
            m.headers.push((n.trim().to_owned(), v.trim().to_owned()));
        }
    }
    let length: usize = m.header("content-length").parse().unwrap_or(0);
    while buf.len() < length {
        let n = s.read(&mut chunk)?;
        if n == 0 {
            let why = format!("cut in the body: {} of {length} bytes", buf.len());
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, why));
        }
        buf.extend_from_slice(&chunk[..n]);
    }
    m.body = buf.drain(..length).collect();
    Ok(Some(m))
}

pub fn encode(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{first}\r\n");
    for (n, v) in headers {
        out.push_str(&format!("{n}: {v}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

pub fn respond(s: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) -> bool {
    s.write_all(&encode(&format!("HTTP/1.1 {status}"), headers, body)).is_ok()
}

/// Serves each connection on a thread of its own. The handler returns false to close it.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for s in listener.incoming() {
            let Ok(mut s) = s else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = s.set_nodelay(true);
                let mut buf = Vec::new();
                while let Ok(Some(m)) = read_message(&mut s, &mut buf) {
                    if !handler(&m, &mut s) {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends one request on an open connection and reads its answer.
pub fn exchange(s: &mut TcpStream, request: &[u8], limit: Duration) -> io::Result<Message> {
    s.set_read_timeout(Some(limit))?;
    s.write_all(request)?;
    let closed = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer");
    read_message(s, &mut Vec::new())?.ok_or_else(closed)
}

/// Sends one request on a new connection.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut s = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    s.set_nodelay(true)?;
    exchange(&mut s, request, limit)
}
