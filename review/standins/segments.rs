//! Connections with the segments of Ethernet and a small window, as the usual buffers of loopback
//! hold megabytes.

use std::{
    io,
    net::{SocketAddrV4, TcpStream},
    os::fd::FromRawFd as _,
};

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
/// Payload of a segment in an Ethernet frame.
const SEGMENT_BYTES: i32 = 1_448;
/// Size of the receive buffer, which limits the window.
const WINDOW_BYTES: i32 = 16_384;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    addr: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, addr: *const SockAddrIn, len: u32) -> i32;
}

/// Connects to an address with segments of [`SEGMENT_BYTES`] and a window of [`WINDOW_BYTES`].
pub fn connect_with_segments(addr: SocketAddrV4) -> io::Result<TcpStream> {
    let peer = SockAddrIn {
        family: AF_INET as u16,
        port: addr.port().to_be(),
        addr: addr.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the descriptor is new and owned by the stream; the pointers are to live values of the
    // lengths given.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4) != 0
            || setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4) != 0
            || connect(fd, &peer, size_of::<SockAddrIn>() as u32) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
