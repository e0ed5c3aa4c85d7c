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

/// Most connections at once.
const MAX_CONNECTIONS: usize = 256;

/// Time for which open requests may go on after a stop, seconds.
const STOP_SECONDS: u64 = 10;

/// Running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Binds the operators' address and starts to answer.
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
            .shutdown_timeout(STOP_SECONDS)
            .disable_signals()
            .bind(address)?;
        let address = server.addrs().first().copied().unwrap_or(address);
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Self { address, handle })
    }

    /// Address that is bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new request and completes once open ones are answered.
    pub async fn stop(self) {
        self.handle.stop(true).await;
    }
}

/// Adds the operators' routes to a server.
pub fn configure<C>(config: &mut ServiceConfig, control: C)
where
    C: Control,
{
    let method = || web::to(|| async { refuse(method_not_allowed()) });
    let get = |path: &str| web::resource(path.to_owned()).default_service(method());
    config
        .app_data(web::Data::new(control))
        .service(get("/orders").route(web::post().to(order::submit::<C>)))
        .service(get("/document").route(web::get().to(read::document::<C>)))
        .service(get("/declarations").route(web::get().to(read::declarations::<C>)))
        .service(get("/profiles").route(web::get().to(read::profiles::<C>)))
        .service(get("/profiles/{name:.+}").route(web::get().to(read::profile::<C>)))
        .service(get("/services").route(web::get().to(read::services::<C>)))
        .service(get("/history").route(web::get().to(read::history::<C>)))
        .service(get("/zones").route(web::get().to(read::zones::<C>)))
        .service(get("/upstreams").route(web::get().to(read::upstreams::<C>)))
        .service(get("/groups").route(web::get().to(read::groups::<C>)))
        .service(get("/status").route(web::get().to(read::status::<C>)))
        .service(
            get("/replicas")
                .route(web::get().to(read::replicas::<C>))
                .route(web::post().to(order::change::<C>)),
        )
        .default_service(web::to(|| async { refuse(not_found()) }));
}

fn method_not_allowed() -> Failure {
    Failure::new(
        ErrorKind::MethodNotAllowed,
        "this path takes another method",
    )
}

fn not_found() -> Failure {
    Failure::new(ErrorKind::NotFound, "this path does not exist")
}
