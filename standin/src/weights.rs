//! Stand-in weights store with a rate that it does not exceed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use derive_more::Display;
use futures_util::stream;
use pimentotide_engine::RATE_HEADER;

use crate::serve::serve;

/// Bytes of weights in one chunk.
const CHUNK_BYTES: usize = 16 << 10;

/// Behaviour of a weights store.
#[derive(Clone, Debug)]
pub struct WeightsOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Rate over all readers, bytes a second.
    pub rate: u64,
    /// Size of the weights of one expert, bytes.
    pub size: u64,
}

/// Why a weights store could not start.
#[derive(Debug, Display)]
#[display("stand-in weights store on {address}: {source}")]
pub struct WeightsStoreError {
    /// Address that was asked for.
    pub address: SocketAddr,
    source: std::io::Error,
}

impl std::error::Error for WeightsStoreError {}

/// What a store is serving and has served.
#[derive(Debug, Default)]
struct Books {
    rate: u64,
    peak: u64,
    refused: u64,
    served: BTreeMap<String, u64>,
}

struct Core {
    options: WeightsOptions,
    books: Mutex<Books>,
}

/// A running weights store.
pub struct WeightsStore {
    address: SocketAddr,
    core: Arc<Core>,
    server: ServerHandle,
}

/// One reader's part of the rate, given back when the answer ends.
struct Reading {
    core: Arc<Core>,
    rate: u64,
    key: String,
}

impl Core {
    fn books(&self) -> MutexGuard<'_, Books> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a reader at `rate` if the store's rate allows it.
    fn admit(self: &Arc<Self>, rate: u64, key: &str) -> Option<Reading> {
        let mut books = self.books();
        if rate == 0 || books.rate + rate > self.options.rate {
            books.refused += 1;
            return None;
        }
        books.rate += rate;
        books.peak = books.peak.max(books.rate);
        Some(Reading {
            core: Arc::clone(self),
            rate,
            key: key.to_owned(),
        })
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.core.books().rate -= self.rate;
    }
}

impl Reading {
    fn note(&self, bytes: u64) {
        *self
            .core
            .books()
            .served
            .entry(self.key.clone())
            .or_default() += bytes;
    }
}

impl WeightsStore {
    /// Starts a store on the current actix system.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn spawn(options: WeightsOptions) -> Result<Self, WeightsStoreError> {
        let listen = options.listen;
        let core = Arc::new(Core {
            options,
            books: Mutex::default(),
        });
        let served = serve(listen, &core, |routes| {
            routes.route("/weights/{key:.*}", web::get().to(read));
        });
        let (address, handle) = served.map_err(|source| WeightsStoreError {
            address: listen,
            source,
        })?;
        Ok(Self {
            address,
            core,
            server: handle,
        })
    }

    /// Address that serves weights.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes served, by key.
    pub fn served(&self) -> BTreeMap<String, u64> {
        self.core.books().served.clone()
    }

    /// Highest rate that readers had at once.
    pub fn peak(&self) -> u64 {
        self.core.books().peak
    }

    /// Readers turned away.
    pub fn refused(&self) -> u64 {
        self.core.books().refused
    }

    /// Stops the store.
    pub async fn stop(self) {
        self.server.stop(false).await;
    }
}

async fn read(core: web::Data<Core>, request: HttpRequest, key: web::Path<String>) -> HttpResponse {
    let header = request.headers().get(RATE_HEADER);
    let rate = header.and_then(|h| h.to_str().ok()?.parse().ok());
    let rate = rate.unwrap_or(core.options.rate);
    let Some(reading) = core.into_inner().admit(rate, &key) else {
        return HttpResponse::TooManyRequests().finish();
    };
    let left = reading.core.options.size;
    let body = stream::unfold((reading, left), |(reading, left)| async move {
        let size = left.min(CHUNK_BYTES as u64);
        if size == 0 {
            return None;
        }
        let due = Duration::from_secs_f64(size as f64 / reading.rate as f64);
        actix_rt::time::sleep(due).await;
        reading.note(size);
        let chunk = Bytes::from(vec![0; size as usize]);
        Some((Ok::<_, actix_web::Error>(chunk), (reading, left - size)))
    });
    HttpResponse::Ok().streaming(body)
}
