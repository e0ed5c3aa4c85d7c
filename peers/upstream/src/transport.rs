//! Connections on which end of file is an error and answers have an end.
//!
//! The HTTP client ends a body without an error when the connection closes
//! early, so a truncated body is taken for a complete one. Over these connections
//! the close is an I/O error, which the client returns; a body with complete
//! framing is never read up to the close. An answer delimited only by the close
//! also ends with the error; its head shows that it has no length.
//!
//! A bound on the body alone does not end an answer: chunk sizes, extensions and trailers can go
//! on forever without any content. So the bytes that come off a connection since the last request
//! are counted, whatever they hold.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, fn_service};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector as TcpConnector};
use awc::Connector;
use awc::http::Uri;
use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum size of a response head that is inspected.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Size of one read while the head is inspected.
const HEAD_READ_BYTES: usize = 4 << 10;

/// Maximum size of an answer of an upstream with its head and framing.
pub const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// TCP stream that returns an error at end of file, and when an answer is too long.
#[derive(Debug)]
pub struct StrictEofStream {
    stream: TcpStream,
    /// Maximum number of bytes of an answer.
    max_answer: u64,
    /// Bytes read since the last write.
    received: u64,
    /// Bytes of the first answer until its head is complete; `None` afterwards.
    head: Option<Vec<u8>>,
    /// Bytes read with the head that are still to be returned to the reader.
    buffered: Bytes,
}

impl StrictEofStream {
    fn new(stream: TcpStream, max_answer: u64) -> Self {
        Self {
            stream,
            max_answer,
            received: 0,
            head: Some(Vec::new()),
            buffered: Bytes::new(),
        }
    }

    /// Counts bytes of an answer.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::FileTooLarge`] if the answer is too long.
    fn count(&mut self, bytes: usize) -> io::Result<()> {
        self.received += bytes as u64;
        if self.received > self.max_answer {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        Ok(())
    }

    /// Reads until the head of the first answer is complete.
    fn poll_head(&mut self, cx: &mut Context<'_>, mut head: Vec<u8>) -> Poll<io::Result<()>> {
        let mut part = [0; HEAD_READ_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut part);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
                Poll::Pending => {
                    self.head = Some(head);
                    return Poll::Pending;
                }
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Ready(Ok(())) if buffer.filled().is_empty() => {
                    return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                }
                Poll::Ready(Ok(())) => head.extend_from_slice(buffer.filled()),
            }
            self.count(buffer.filled().len())?;
            let end = head.windows(HEAD_END.len()).position(|w| w == HEAD_END);
            if end.is_some() || head.len() > MAX_HEAD_BYTES {
                if let Some(end) = end {
                    let unframed = is_unframed(&head[..end]);
                    if let (true, Some(version)) = (unframed, head.get_mut(..HTTP_1_1.len())) {
                        version.copy_from_slice(HTTP_1_0);
                    }
                }
                self.buffered = head.into();
                return Poll::Ready(Ok(()));
            }
        }
    }
}

const HEAD_END: &[u8] = b"\r\n\r\n";
const HTTP_1_1: &[u8] = b"HTTP/1.1";
/// Version under which the client reads a body without a length up to the close.
const HTTP_1_0: &[u8] = b"HTTP/1.0";

/// Returns whether only the close of the connection delimits the body after `head`.
///
/// The client treats such a body as empty under HTTP/1.1, also after the obsolete coding `identity`.
fn is_unframed(head: &[u8]) -> bool {
    let text = String::from_utf8_lossy(head).to_ascii_lowercase();
    let status = text.split(' ').nth(1).unwrap_or_default();
    let bodiless = status.starts_with('1') || status == "204" || status == "304";
    let framed = |line: &str| match line.split_once(':') {
        Some(("content-length", _)) => true,
        Some(("transfer-encoding", coding)) => coding.trim() != "identity",
        _ => false,
    };
    head.starts_with(HTTP_1_1) && !bodiless && !text.lines().any(framed)
}

impl AsyncRead for StrictEofStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(head) = self.head.take()
            && self.poll_head(cx, head)?.is_pending()
        {
            return Poll::Pending;
        }
        if !self.buffered.is_empty() {
            let length = self.buffered.len().min(buffer.remaining());
            buffer.put_slice(&self.buffered.split_to(length));
            return Poll::Ready(Ok(()));
        }
        let (room, before) = (buffer.remaining(), buffer.filled().len());
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if matches!(read, Poll::Ready(Ok(()))) {
            let length = buffer.filled().len() - before;
            if room > 0 && length == 0 {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            self.count(length)?;
        }
        read
    }
}

impl AsyncWrite for StrictEofStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.received = 0;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for StrictEofStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

/// Builds a connector of [`StrictEofStream`] connections with `TCP_NODELAY` set, on which an answer
/// has `max_answer` bytes at most.
pub fn strict_eof_connector(
    timeout: Duration,
    max_answer: u64,
) -> Connector<
    impl Service<
        ConnectInfo<Uri>,
        Response = Connection<Uri, StrictEofStream>,
        Error = ConnectError,
        Future: 'static,
    > + Clone
    + 'static,
> {
    let connect = TcpConnector::default().service();
    let connect = fn_service(move |info: ConnectInfo<Uri>| {
        let connecting = connect.call(info);
        async move {
            let (stream, host) = connecting.await?.into_parts();
            // Failure is harmless: small writes are then only delayed by Nagle's algorithm.
            let _ = stream.set_nodelay(true);
            Ok(Connection::new(
                host,
                StrictEofStream::new(stream, max_answer),
            ))
        }
    });
    Connector::new().connector(connect).timeout(timeout)
}
