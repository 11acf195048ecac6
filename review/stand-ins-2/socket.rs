//! Connections with the segments and windows of an ordinary network. On loopback, segments of 64 KB
//! let the kernel buffer megabytes for a peer that doesn't read.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2_000_000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// The largest segment on Ethernet.
const SEGMENT_BYTES: i32 = 1_460;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
}

/// Connects with segments of Ethernet and a receive buffer of `receive_bytes`.
pub fn connect_small(to: SocketAddr, receive_bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else { return Err(io::ErrorKind::Unsupported.into()) };
    // SAFETY: plain system calls with pointers to values that outlive them.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let set = |level, name, value: i32| setsockopt(fd, level, name, &value, 4);
        if set(IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES) != 0
            || set(SOL_SOCKET, SO_RCVBUF, receive_bytes) != 0
            || connect(fd, &address(to), 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

fn address(to: SocketAddrV4) -> SockAddrIn {
    let (port, address) = (to.port().to_be_bytes(), to.ip().octets());
    SockAddrIn { family: AF_INET as u16, port, address, zero: [0; 8] }
}
