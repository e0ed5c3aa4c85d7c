//! Messages of the adapter's fixtures, and answers read back.
//!
//! The names on the wire stand in the fixtures, because only the adapter knows
//! them.

use std::io;
use std::path::Path;

use tokio::io::{AsyncRead, AsyncReadExt};

/// Largest message, bytes.
const MAX_MESSAGE: usize = 1 << 20;

/// A message with places to fill in.
#[derive(Clone, Debug)]
pub struct Template(String);

impl Template {
    /// Reads a fixture.
    ///
    /// # Errors
    ///
    /// Fails if there is none of this name.
    pub fn open(name: &str) -> io::Result<Self> {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../platform/tests/fixtures")
            .join(name);
        std::fs::read_to_string(folder).map(Self)
    }

    /// Fills in the places and the length of the body.
    pub fn fill(&self, values: &[(&str, &str)]) -> String {
        let mut text = self.0.clone();
        for (name, value) in values {
            text = text.replace(&format!("{{{name}}}"), value);
        }
        let (head, body) = text.split_once("\n\n").unwrap_or((text.trim_end(), ""));
        let body = body.strip_suffix('\n').unwrap_or(body);
        let body = if head.contains("chunked") {
            body.replace('\n', "\r\n")
        } else {
            body.to_owned()
        };
        let head = head
            .replace("{length}", &body.len().to_string())
            .replace('\n', "\r\n");
        format!("{head}\r\n\r\n{body}")
    }

    /// Name of the header whose value is the place `name`.
    pub fn header(&self, name: &str) -> String {
        let place = format!("{{{name}}}");
        let line = self.0.lines().find(|l| l.ends_with(&place));
        let header = line.and_then(|l| l.split_once(':')).map(|(h, _)| h);
        header.unwrap_or_default().to_ascii_lowercase()
    }
}

/// A request or answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    head: String,
    /// Body as far as it came, without its framing.
    pub body: String,
    /// Whether it came to its end.
    pub complete: bool,
}

impl Message {
    /// Status of an answer; zero if it has none.
    pub fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// First line.
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or("")
    }

    /// Value of a header; empty if it has none.
    pub fn header(&self, name: &str) -> &str {
        let mut lines = self.head.lines().filter_map(|l| l.split_once(':'));
        let line = lines.find(|(n, _)| n.eq_ignore_ascii_case(name));
        line.map_or("", |(_, value)| value.trim())
    }

    /// Whether the connection may be used again.
    pub fn keeps_connection(&self) -> bool {
        self.complete && !self.header("connection").eq_ignore_ascii_case("close")
    }
}

/// Reads a message; none if the connection ended before its head was whole.
pub async fn read_message<S>(stream: &mut S) -> Option<Message>
where
    S: AsyncRead + Unpin,
{
    let mut bytes = Vec::new();
    let head = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end;
        }
        if !more(stream, &mut bytes).await {
            return None;
        }
    };
    let mut message = Message {
        head: String::from_utf8_lossy(&bytes[..head]).into_owned(),
        ..Message::default()
    };
    let mut rest = bytes.split_off(head + 4);
    if message.header("transfer-encoding").contains("chunked") {
        while !rest.ends_with(b"0\r\n\r\n") && more(stream, &mut rest).await {}
        message.complete = rest.ends_with(b"0\r\n\r\n");
        message.body = unchunk(&rest);
        return Some(message);
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    while rest.len() < length && more(stream, &mut rest).await {}
    message.complete = rest.len() == length;
    message.body = String::from_utf8_lossy(&rest).into_owned();
    Some(message)
}

/// An answer as text, with its headers in order and without its date.
pub fn normalize(text: &str) -> String {
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
    let mut lines: Vec<&str> = head
        .lines()
        .filter(|line| !line.starts_with("date:"))
        .collect();
    if let Some(headers) = lines.get_mut(1..) {
        headers.sort_unstable();
    }
    format!("{}\n\n{}", lines.join("\n"), body.replace("\r\n", "\n"))
}

async fn more<S>(stream: &mut S, bytes: &mut Vec<u8>) -> bool
where
    S: AsyncRead + Unpin,
{
    let read = stream.read_buf(bytes).await;
    matches!(read, Ok(n) if n > 0) && bytes.len() < MAX_MESSAGE
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

/// Joins the chunks that are whole.
fn unchunk(bytes: &[u8]) -> String {
    let mut body = Vec::new();
    let mut rest = bytes;
    while let Some(end) = find(rest, b"\r\n") {
        let size = std::str::from_utf8(&rest[..end]).ok();
        let size = size.and_then(|s| usize::from_str_radix(s, 16).ok());
        let Some(chunk) = size.and_then(|n| rest.get(end + 2..end + 2 + n)) else {
            break;
        };
        if chunk.is_empty() {
            break;
        }
        body.extend_from_slice(chunk);
        rest = rest.get(end + 4 + chunk.len()..).unwrap_or(&[]);
    }
    String::from_utf8_lossy(&body).into_owned()
}
