//! Minimal HTTP/1.1 over blocking sockets.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;
use std::time::Duration;

/// Head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Connection with the bytes that were read beyond the last message.
pub struct Link {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// By its length or its last chunk.
    Framed,
    /// By the orderly close of a connection whose answer has no length.
    Closed,
    /// Before its length or its last chunk, or by an error.
    Cut,
}

impl Link {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, rest: Vec::new() }
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let n = self.stream.read(&mut part)?;
        self.rest.extend_from_slice(&part[..n]);
        Ok(n)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|l| l.split_once(':'));
                let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
                return Ok(Some(Head { first, headers: headers.collect() }));
            }
            if self.more()? == 0 {
                return match self.rest.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads the body that follows `head`, calling `pace` with the bytes so far after each read.
    pub fn body<F>(&mut self, head: &Head, request: bool, mut pace: F) -> (Vec<u8>, End)
    where
        F: FnMut(&[u8]),
    {
        if let Some(length) = head.get("content-length").and_then(|l| l.parse::<usize>().ok()) {
            let mut body = std::mem::take(&mut self.rest);
            while body.len() < length {
                match self.more() {
                    Ok(0) | Err(_) => return (body, End::Cut),
                    Ok(_) => body.append(&mut self.rest),
                }
                pace(&body);
            }
            self.rest = body.split_off(length);
            return (body, End::Framed);
        }
        if head.get("transfer-encoding").is_some_and(|c| c.eq_ignore_ascii_case("chunked")) {
            return self.chunked(pace);
        }
        if request || matches!(head.status(), 204 | 304) {
            return (Vec::new(), End::Framed);
        }
        let mut body = std::mem::take(&mut self.rest);
        loop {
            match self.more() {
                Ok(0) => return (body, End::Closed),
                Ok(_) => body.append(&mut self.rest),
                Err(_) => return (body, End::Cut),
            }
            pace(&body);
        }
    }

    fn chunked<F>(&mut self, mut pace: F) -> (Vec<u8>, End)
    where
        F: FnMut(&[u8]),
    {
        let mut body = Vec::new();
        loop {
            let Some(end) = self.rest.windows(2).position(|w| w == b"\r\n") else {
                match self.more() {
                    Ok(0) | Err(_) => return (body, End::Cut),
                    Ok(_) => continue,
                }
            };
            let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
            let size = text.split(';').next().unwrap_or("").trim();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return (body, End::Cut);
            };
            while self.rest.len() < end + 2 + size + 2 {
                match self.more() {
                    Ok(0) | Err(_) => return (body, End::Cut),
                    Ok(_) => {}
                }
            }
            body.extend_from_slice(&self.rest[end + 2..end + 2 + size]);
            self.rest.drain(..end + 2 + size + 2);
            if size == 0 {
                return (body, End::Framed);
            }
            pace(&body);
        }
    }
}

/// Connects within `limit`.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    #[link_name = "connect"]
    fn connect_raw(fd: i32, address: *const u8, length: u32) -> i32;
}

/// Connects with a receive window of about `window` bytes.
pub fn connect_narrow(address: SocketAddr, window: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(ErrorKind::Unsupported.into());
    };
    // SAFETY: plain calls of the C library on a descriptor that nothing else uses yet.
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, 1, 8, &window, 4);
        if connect_c(fd, address) != 0 {
            return Err(io::Error::last_os_error());
        }
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

unsafe fn connect_c(fd: i32, address: SocketAddrV4) -> i32 {
    let ip: Ipv4Addr = *address.ip();
    let mut raw = [0u8; 16];
    raw[..2].copy_from_slice(&2u16.to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&ip.octets());
    // SAFETY: `raw` is a sockaddr_in.
    unsafe { connect_raw(fd, raw.as_ptr(), 16) }
}

/// Sends SIGTERM to a process that this program started.
pub fn terminate(pid: u32) {
    const SIGTERM: i32 = 15;
    // SAFETY: a plain system call.
    unsafe {
        kill(pid as i32, SIGTERM);
    }
}

/// Sends a request and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<(Head, Vec<u8>, End)> {
    let stream = connect(address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut link = Link::new(stream);
    link.stream.write_all(request(method, target, headers, body.len()).as_bytes())?;
    link.stream.write_all(body)?;
    let head = link.head()?.ok_or(ErrorKind::UnexpectedEof)?;
    let (body, end) = link.body(&head, false, |_| ());
    Ok((head, body, end))
}

/// Head of a request with a body of `length` bytes.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], length: usize) -> String {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        text += "Host: stage\r\n";
    }
    text + &format!("Content-Length: {length}\r\n\r\n")
}
