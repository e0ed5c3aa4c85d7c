//! Stand-in weights store with a bounded total read rate.

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

/// Size of a chunk of an answer.
const CHUNK_BYTES: usize = 16 << 10;

/// Options of a weights store.
#[derive(Clone, Debug)]
pub struct WeightsOptions {
    /// Address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Maximum total rate of all readers, bytes per second.
    pub rate: u64,
    /// Size of the weights of one expert, bytes.
    pub size: u64,
}

/// Error of starting a weights store.
#[derive(Debug, Display)]
#[display("stand-in weights store on {address}: {source}")]
pub struct WeightsStoreError {
    /// Address that could not be bound.
    pub address: SocketAddr,
    source: std::io::Error,
}

impl std::error::Error for WeightsStoreError {}

/// Rates in use and statistics of a store.
#[derive(Debug, Default)]
struct Usage {
    rate: u64,
    peak: u64,
    refused: u64,
    served: BTreeMap<String, u64>,
}

struct Core {
    options: WeightsOptions,
    usage: Mutex<Usage>,
}

/// Running weights store.
pub struct WeightsStore {
    address: SocketAddr,
    core: Arc<Core>,
    server: ServerHandle,
}

/// Share of the total rate reserved for a reader; released on drop.
struct Reservation {
    core: Arc<Core>,
    rate: u64,
    key: String,
}

impl Core {
    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves `rate` for a reader; `None` if the total rate would be exceeded.
    fn reserve(self: &Arc<Self>, rate: u64, key: &str) -> Option<Reservation> {
        let mut usage = self.usage();
        if rate == 0 || usage.rate + rate > self.options.rate {
            usage.refused += 1;
            return None;
        }
        usage.rate += rate;
        usage.peak = usage.peak.max(usage.rate);
        Some(Reservation {
            core: Arc::clone(self),
            rate,
            key: key.to_owned(),
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.core.usage().rate -= self.rate;
    }
}

impl Reservation {
    fn record(&self, bytes: u64) {
        *self
            .core
            .usage()
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
            usage: Mutex::default(),
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

    /// Returns the bytes served, by key.
    pub fn served(&self) -> BTreeMap<String, u64> {
        self.core.usage().served.clone()
    }

    /// Returns the highest total rate reserved at one time, bytes per second.
    pub fn peak(&self) -> u64 {
        self.core.usage().peak
    }

    /// Returns the number of rejected readers.
    pub fn refused(&self) -> u64 {
        self.core.usage().refused
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
    let Some(reservation) = core.into_inner().reserve(rate, &key) else {
        return HttpResponse::TooManyRequests().finish();
    };
    let left = reservation.core.options.size;
    let body = stream::unfold((reservation, left), |(reservation, left)| async move {
        let size = left.min(CHUNK_BYTES as u64);
        if size == 0 {
            return None;
        }
        let delay = Duration::from_secs_f64(size as f64 / reservation.rate as f64);
        actix_rt::time::sleep(delay).await;
        reservation.record(size);
        let chunk = Bytes::from(vec![0; size as usize]);
        Some((Ok::<_, actix_web::Error>(chunk), (reservation, left - size)))
    });
    HttpResponse::Ok().streaming(body)
}
