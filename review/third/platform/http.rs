//! Minimal HTTP/1.1 over blocking sockets: enough for the operator, clients and servers of a case.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head of a message: first line and headers with lower-case names.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if the line has none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` if the peer closes before its first byte.
pub fn read_head<R: Read>(from: &mut R) -> io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if from.read(&mut byte)? == 0 {
            if bytes.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.push(byte[0]);
        if bytes.len() > 64 << 10 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|l| l.split_once(':'));
    let headers = headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
    Ok(Some(Head {
        line,
        headers: headers.collect(),
    }))
}

/// Reads a body with a length or in chunks; without either it ends with the connection.
pub fn read_body<R: Read>(from: &mut R, head: &Head, until_close: bool) -> io::Result<Vec<u8>> {
    if let Some(length) = head.get("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        let mut body = vec![0; length];
        from.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    if head
        .get("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"))
    {
        loop {
            let size = read_line(from)?;
            let size = size.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let start = body.len();
            body.resize(start + size, 0);
            from.read_exact(&mut body[start..])?;
            read_line(from)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    if until_close {
        from.read_to_end(&mut body)?;
    }
    Ok(body)
}

fn read_line<R: Read>(from: &mut R) -> io::Result<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") {
        from.read_exact(&mut byte)?;
        line.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&line).trim().to_owned())
}

/// Calls an address once and returns the answer's status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes())?;
    let head = read_head(&mut stream)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut stream, &head, true)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

/// Calls several addresses in turn until one answers below 500, as operators and servers do.
pub fn call_any(
    addresses: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
    within: Duration,
) -> Option<(SocketAddr, u16)> {
    let end = Instant::now() + within;
    loop {
        for address in addresses {
            if let Ok((status, _)) = call(*address, method, path, body, Duration::from_secs(1))
                && status != 0
                && status < 500
            {
                return Some((*address, status));
            }
        }
        if Instant::now() > end {
            return None;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}
