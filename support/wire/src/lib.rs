//! HTTP messages for tests, built from the fixtures of the platform adapter.
//!
//! The fixtures hold the wire names, which no package but the adapter may
//! contain.

use std::io;
use std::path::Path;

use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// HTTP message with placeholders.
#[derive(Clone, Debug)]
pub struct Template(String);

impl Template {
    /// Reads the fixture `name`.
    ///
    /// # Errors
    ///
    /// Fails if the fixture cannot be read.
    pub fn open(name: &str) -> io::Result<Self> {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../platform/tests/fixtures")
            .join(name);
        std::fs::read_to_string(path).map(Self)
    }

    /// Replaces the placeholders and sets the length of the body.
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

    /// Returns the name of the header whose value is the placeholder `name`; empty if there is none.
    pub fn header(&self, name: &str) -> String {
        let placeholder = format!("{{{name}}}");
        let line = self.0.lines().find(|l| l.ends_with(&placeholder));
        let header = line.and_then(|l| l.split_once(':')).map(|(h, _)| h);
        header.unwrap_or_default().to_ascii_lowercase()
    }
}

/// HTTP request or answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    head: String,
    /// Body as far as received, without its framing.
    pub body: String,
    /// Whether the body was received completely.
    pub complete: bool,
}

impl Message {
    /// Returns the status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the request or status line.
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or("")
    }

    /// Returns the value of a header; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let mut lines = self.head.lines().filter_map(|l| l.split_once(':'));
        let line = lines.find(|(n, _)| n.eq_ignore_ascii_case(name));
        line.map_or("", |(_, value)| value.trim())
    }

    /// Whether the connection can be reused for another request.
    pub fn keeps_connection(&self) -> bool {
        self.complete && !self.header("connection").eq_ignore_ascii_case("close")
    }
}

/// Reads a message; `None` if the connection ended before the head was complete.
pub async fn read_message<S>(stream: &mut S) -> Option<Message>
where
    S: AsyncRead + Unpin,
{
    let mut bytes = Vec::new();
    let head = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end;
        }
        if !read_more(stream, &mut bytes).await {
            return None;
        }
    };
    let mut message = Message {
        head: String::from_utf8_lossy(&bytes[..head]).into_owned(),
        ..Message::default()
    };
    let mut rest = bytes.split_off(head + 4);
    if message.header("transfer-encoding").contains("chunked") {
        while !rest.ends_with(b"0\r\n\r\n") && read_more(stream, &mut rest).await {}
        message.complete = rest.ends_with(b"0\r\n\r\n");
        message.body = decode_chunks(&rest);
        return Some(message);
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    while rest.len() < length && read_more(stream, &mut rest).await {}
    message.complete = rest.len() == length;
    message.body = String::from_utf8_lossy(&rest).into_owned();
    Some(message)
}

/// Normalizes the text of an answer: sorts its headers and removes the date.
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

async fn read_more<S>(stream: &mut S, bytes: &mut Vec<u8>) -> bool
where
    S: AsyncRead + Unpin,
{
    let read = stream.read_buf(bytes).await;
    matches!(read, Ok(n) if n > 0) && bytes.len() < MAX_MESSAGE_BYTES
}

fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes.windows(needle.len()).position(|w| w == needle)
}

/// Joins the complete chunks of a chunked body.
fn decode_chunks(bytes: &[u8]) -> String {
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
