//! Connections whose early end is an error.
//!
//! The HTTP client ends a body quietly when its connection closes early, so
//! that a short body looks like a whole one. Over these connections the close
//! itself is an error, which the client passes on; a body that ends as its
//! framing says never reads that far. An answer that only the close delimits ends
//! with that error too; whoever reads it can tell by its head that it has no length.

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

/// Longest head that is looked at, bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes read at once while the head is looked at.
const HEAD_PART_BYTES: usize = 4 << 10;

/// TCP stream whose end is an error.
#[derive(Debug)]
pub struct WholeStream {
    stream: TcpStream,
    /// Start of the first answer, until its head is whole.
    head: Option<Vec<u8>>,
    /// Bytes that were read with the head and are still to be handed on.
    ready: Bytes,
}

impl WholeStream {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            head: Some(Vec::new()),
            ready: Bytes::new(),
        }
    }

    /// Reads on until the head of the first answer is whole.
    fn poll_head(&mut self, cx: &mut Context<'_>, mut head: Vec<u8>) -> Poll<io::Result<()>> {
        let mut part = [0; HEAD_PART_BYTES];
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
            let end = head.windows(HEAD_END.len()).position(|w| w == HEAD_END);
            if end.is_some() || head.len() > MAX_HEAD_BYTES {
                if let Some(end) = end {
                    let unframed = is_unframed(&head[..end]);
                    if let (true, Some(version)) = (unframed, head.get_mut(..VERSION.len())) {
                        version.copy_from_slice(OLD_VERSION);
                    }
                }
                self.ready = head.into();
                return Poll::Ready(Ok(()));
            }
        }
    }
}

const HEAD_END: &[u8] = b"\r\n\r\n";
const VERSION: &[u8] = b"HTTP/1.1";
/// Version under which the client reads a body without a length to the end of the connection.
const OLD_VERSION: &[u8] = b"HTTP/1.0";

/// Whether only the end of the connection ends the body after this head.
///
/// The client takes such a body of the newer version for empty.
fn is_unframed(head: &[u8]) -> bool {
    let text = String::from_utf8_lossy(head).to_ascii_lowercase();
    let status = text.split(' ').nth(1).unwrap_or_default();
    let bodiless = status.starts_with('1') || status == "204" || status == "304";
    let framed =
        |line: &str| line.starts_with("content-length:") || line.starts_with("transfer-encoding:");
    head.starts_with(VERSION) && !bodiless && !text.lines().any(framed)
}

impl AsyncRead for WholeStream {
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
        if !self.ready.is_empty() {
            let length = self.ready.len().min(buffer.remaining());
            buffer.put_slice(&self.ready.split_to(length));
            return Poll::Ready(Ok(()));
        }
        let (room, before) = (buffer.remaining(), buffer.filled().len());
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if matches!(read, Poll::Ready(Ok(()))) && room > 0 && buffer.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        read
    }
}

impl AsyncWrite for WholeStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for WholeStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

/// Builds a connector of such connections, which also send small writes at once.
pub fn whole_connector(
    timeout: Duration,
) -> Connector<
    impl Service<
        ConnectInfo<Uri>,
        Response = Connection<Uri, WholeStream>,
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
            // Without it small writes wait for acknowledgements, nothing worse.
            let _ = stream.set_nodelay(true);
            Ok(Connection::new(host, WholeStream::new(stream)))
        }
    });
    Connector::new().connector(connect).timeout(timeout)
}
