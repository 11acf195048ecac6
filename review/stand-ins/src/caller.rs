//! A caller on a kept connection.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, encode, exchange};

pub struct Caller {
    to: SocketAddr,
    open: Option<TcpStream>,
    /// Whether the last request went over a kept connection.
    pub kept: bool,
}

impl Caller {
    pub fn new(to: SocketAddr) -> Caller {
        Caller { to, open: None, kept: false }
    }

    /// Sends a request; the connection is kept unless the answer closes it.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        key: Option<u16>,
        deadline: Duration,
        body: &[u8],
    ) -> io::Result<Message> {
        let ms = deadline.as_millis().to_string();
        let key = key.map(|k| k.to_string());
        let mut headers = vec![("Host", "site.example"), ("Attempt-Id", id), ("Deadline-Ms", &ms)];
        headers.extend(key.as_ref().map(|k| ("Shard-Key", k.as_str())));
        let request = encode(&format!("{method} {path} HTTP/1.1"), &headers, body);
        self.kept = self.open.is_some();
        let mut s = match self.open.take() {
            Some(s) => s,
            None => {
                let s = TcpStream::connect_timeout(&self.to, Duration::from_secs(1))?;
                s.set_nodelay(true)?;
                s
            }
        };
        let answer = exchange(&mut s, &request, deadline)?;
        if !answer.header("connection").eq_ignore_ascii_case("close") {
            self.open = Some(s);
        }
        Ok(answer)
    }
}

pub fn id(n: u64) -> String {
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id()))
}
