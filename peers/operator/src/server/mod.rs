//! HTTP server for operators.

mod order;
mod read;
mod reply;
mod warn;

use std::io;
use std::net::SocketAddr;

use actix_web::dev::ServerHandle;
use actix_web::web::{self, ServiceConfig};
use actix_web::{App, HttpServer};
use pimentotide_model::{ErrorKind, Failure};

use crate::control::Control;
use reply::refuse;

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 256;

/// Time for which a stop waits for open requests.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 10;

/// Running HTTP server for operators.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Binds `address` and starts serving.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind<C>(address: SocketAddr, control: C) -> io::Result<Self>
    where
        C: Control,
    {
        let factory = move || {
            let control = control.clone();
            App::new().configure(|config| configure(config, control))
        };
        let server = HttpServer::new(factory)
            .workers(1)
            .max_connections(MAX_CONNECTIONS)
            .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
            .disable_signals()
            .bind(address)?;
        let address = server.addrs().first().copied().unwrap_or(address);
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Self { address, handle })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting requests and completes once open ones are answered.
    pub async fn stop(self) {
        self.handle.stop(true).await;
    }
}

/// Adds the operators' routes to a server.
pub fn configure<C>(config: &mut ServiceConfig, control: C)
where
    C: Control,
{
    let fallback = || web::to(|| async { refuse(method_not_allowed()) });
    let resource = |path: &str| web::resource(path.to_owned()).default_service(fallback());
    config
        .app_data(web::Data::new(control))
        .service(resource("/orders").route(web::post().to(order::submit::<C>)))
        .service(resource("/document").route(web::get().to(read::document::<C>)))
        .service(resource("/declarations").route(web::get().to(read::declarations::<C>)))
        .service(resource("/profiles").route(web::get().to(read::profiles::<C>)))
        .service(resource("/profiles/{name:.+}").route(web::get().to(read::profile::<C>)))
        .service(resource("/services").route(web::get().to(read::services::<C>)))
        .service(resource("/history").route(web::get().to(read::history::<C>)))
        .service(resource("/zones").route(web::get().to(read::zones::<C>)))
        .service(resource("/upstreams").route(web::get().to(read::upstreams::<C>)))
        .service(resource("/groups").route(web::get().to(read::groups::<C>)))
        .service(resource("/status").route(web::get().to(read::status::<C>)))
        .service(
            resource("/replicas")
                .route(web::get().to(read::replicas::<C>))
                .route(web::post().to(order::change::<C>)),
        )
        .default_service(web::to(|| async { refuse(not_found()) }));
}

fn method_not_allowed() -> Failure {
    Failure::new(
        ErrorKind::MethodNotAllowed,
        "method not supported at this path",
    )
}

fn not_found() -> Failure {
    Failure::new(ErrorKind::NotFound, "no resource at this path")
}
