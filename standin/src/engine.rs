//! Start, control and stop of a stand-in engine.

use std::net::SocketAddr;
use std::sync::Arc;

use actix_rt::task::JoinHandle;
use actix_web::dev::ServerHandle;
use actix_web::{HttpResponse, web};
use derive_more::Display;
use pimentotide_model::ServiceKind;

use crate::core::Core;
use crate::serve::serve;
use crate::{Control, EngineOptions, Ledger, announce, answer, plain};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Error of starting an engine.
#[derive(Debug, Display)]
#[display("stand-in engine on {address}: {source}")]
pub struct EngineError {
    /// Address that could not be bound.
    pub address: SocketAddr,
    source: std::io::Error,
}

impl std::error::Error for EngineError {}

/// Running stand-in engine.
pub struct Engine {
    address: SocketAddr,
    core: Arc<Core>,
    server: ServerHandle,
    announcer: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine on the current actix system.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn spawn(options: EngineOptions) -> Result<Self, EngineError> {
        let listen = options.listen;
        let kind = options.kind;
        let core = Arc::new(Core::new(options));
        let served = serve(listen, &core, move |routes| configure(routes, kind));
        let (address, handle) = served.map_err(|source| EngineError {
            address: listen,
            source,
        })?;
        let announcer = actix_rt::spawn(announce::run(Arc::clone(&core), address));
        Ok(Self {
            address,
            core,
            server: handle,
            announcer,
        })
    }

    /// Address that accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the record of all runs so far.
    pub fn ledger(&self) -> Ledger {
        self.core.ledger()
    }

    /// Replaces the injected faults.
    pub fn control(&self, control: Control) {
        self.core.control(control);
    }

    /// Stops the engine, after the running requests if `graceful`.
    pub async fn stop(self, graceful: bool) {
        self.announcer.abort();
        self.server.stop(graceful).await;
    }
}

fn configure(routes: &mut web::ServiceConfig, kind: ServiceKind) {
    routes
        .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .route("/ledger", web::get().to(ledger))
        .route("/control", web::post().to(control));
    match kind {
        ServiceKind::Model => routes
            .route("/v1/completions", web::post().to(answer::completions))
            .route("/v1/chat/completions", web::post().to(answer::chat)),
        ServiceKind::Plain => routes.default_service(web::to(plain::any)),
    };
}

async fn ledger(core: web::Data<Core>) -> HttpResponse {
    HttpResponse::Ok().json(core.ledger())
}

async fn control(core: web::Data<Core>, body: web::Json<Control>) -> HttpResponse {
    core.control(body.into_inner());
    HttpResponse::NoContent().finish()
}
