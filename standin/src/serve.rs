//! HTTP servers of stand-ins.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::dev::ServerHandle;
use actix_web::{App, HttpServer, web};

/// Starts a server with `data` on the current actix system; returns its bound address.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) fn serve<T, F>(
    listen: SocketAddr,
    data: &Arc<T>,
    routes: F,
) -> io::Result<(SocketAddr, ServerHandle)>
where
    T: Send + Sync + 'static,
    F: Fn(&mut web::ServiceConfig) + Send + Clone + 'static,
{
    let data = web::Data::from(Arc::clone(data));
    let server =
        HttpServer::new(move || App::new().app_data(data.clone()).configure(routes.clone()))
            .workers(1)
            .tcp_nodelay(true)
            .disable_signals()
            .bind(listen)?;
    let address = server.addrs().first().copied().unwrap_or(listen);
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok((address, handle))
}
