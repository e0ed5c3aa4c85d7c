//! Connections whose early end is an error.
//!
//! The HTTP client ends a body quietly when its connection closes early, so
//! that a short body looks like a whole one. Over these connections the close
//! itself is an error, which the client passes on; a body that ends as its
//! framing says never reads that far. Answers that only the close delimits are
//! refused with it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, fn_service};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector as TcpConnector};
use awc::Connector;
use awc::http::Uri;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// TCP stream whose end is an error.
#[derive(Debug)]
pub struct WholeStream(TcpStream);

impl AsyncRead for WholeStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (room, before) = (buffer.remaining(), buffer.filled().len());
        let read = Pin::new(&mut self.0).poll_read(cx, buffer);
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
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for WholeStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
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
            Ok(Connection::new(host, WholeStream(stream)))
        }
    });
    Connector::new().connector(connect).timeout(timeout)
}
