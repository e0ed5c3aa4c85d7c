//! Stand-in upstreams, which announce themselves, run requests and record each run.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::RngExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};

use crate::history::{Recorder, Run};
use crate::incarnation::IncarnationState;
use crate::proxy::Proxy;
use pimentotide_wire::{Message, Template, read_message};

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for the acknowledgement of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Zone of the first upstreams, which always serves.
const SERVING_ZONE: &str = "z1";
/// Zone of the other upstreams, which is evacuated at times.
pub(crate) const EVACUATED_ZONE: &str = "z2";
/// Number of upstreams in the zone that always serves.
const SERVING_UPSTREAMS: usize = 3;
/// Number of events in a stream.
pub(crate) const EVENTS: u64 = 8;
/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(12);
/// Processing time of a request that is not streamed, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 3..40;
/// Processing time of a slow request, in milliseconds; it ends before its draining upstream does.
const SLOW_WORK_MS: std::ops::Range<u64> = 200..1_400;
/// Time after which a hanging upstream closes the connection.
const HANG_TIME: Duration = Duration::from_secs(10);

/// How an upstream handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Runs and answers every request.
    #[default]
    Normal,
    /// Accepts requests and sends no answer.
    Hanging,
    /// Refuses about half of the requests without running them.
    Full,
    /// Runs requests and truncates about half of the answers.
    Truncating,
}

/// Templates of the messages that upstreams send.
#[derive(Clone, Debug)]
struct Templates {
    announce: Template,
    leave: Template,
    answer: Template,
    events: Template,
    full: Template,
}

/// A stand-in upstream that can be crashed, restarted and drained.
#[derive(Debug)]
pub(crate) struct StandIn {
    number: usize,
    templates: Arc<Templates>,
    recorder: Arc<Recorder>,
    controls: Vec<SocketAddr>,
    pub(crate) proxy: Proxy,
    mode: watch::Sender<Mode>,
    incarnation: tokio::sync::Mutex<Incarnation>,
}

impl Drop for StandIn {
    /// Ends its tasks: it would go on announcing itself to ports that another soak may have by then.
    fn drop(&mut self) {
        for task in self.incarnation.get_mut().tasks.drain(..) {
            task.abort();
        }
    }
}

/// Present incarnation of an upstream.
#[derive(Debug, Default)]
struct Incarnation {
    name: String,
    state: IncarnationState,
    tasks: Vec<AbortHandle>,
}

impl StandIn {
    /// Starts an upstream that announces itself to one of `controls`.
    pub(crate) async fn spawn(
        number: usize,
        controls: Vec<SocketAddr>,
        recorder: Arc<Recorder>,
    ) -> io::Result<Self> {
        let templates = Templates {
            announce: Template::open("soak/announce.http")?,
            leave: Template::open("soak/leave.http")?,
            answer: Template::open("soak/answer.http")?,
            events: Template::open("soak/events.http")?,
            full: Template::open("soak/full.http")?,
        };
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let stand_in = Self {
            number,
            templates: Arc::new(templates),
            recorder,
            controls,
            proxy: Proxy::bind(nowhere).await?,
            mode: watch::Sender::default(),
            incarnation: tokio::sync::Mutex::default(),
        };
        stand_in.start().await?;
        Ok(stand_in)
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Aborts the present incarnation without a message; its connections break.
    pub(crate) async fn crash(&self) {
        for task in self.incarnation.lock().await.tasks.drain(..) {
            task.abort();
        }
    }

    /// Starts a new incarnation under another name, on another port.
    pub(crate) async fn start(&self) -> io::Result<()> {
        let mut incarnation = self.incarnation.lock().await;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.proxy.set_target(listener.local_addr()?);
        let number = incarnation.state.start();
        incarnation.name = format!("u{}.{number}", self.number);
        let server = Server {
            name: incarnation.name.clone(),
            templates: self.templates.clone(),
            recorder: self.recorder.clone(),
            mode: self.mode.subscribe(),
        };
        self.recorder
            .history()
            .zones
            .insert(incarnation.name.clone(), self.zone());
        let serving = tokio::spawn(serve(listener, server));
        let announcing = tokio::spawn(announce(
            Announcer {
                name: incarnation.name.clone(),
                address: self.proxy.address(),
                zone: self.zone(),
                incarnation: number,
                templates: self.templates.clone(),
                recorder: self.recorder.clone(),
                controls: self.controls.clone(),
            },
            incarnation.state.draining(),
        ));
        incarnation.tasks = vec![serving.abort_handle(), announcing.abort_handle()];
        Ok(())
    }

    fn zone(&self) -> &'static str {
        if self.number < SERVING_UPSTREAMS {
            SERVING_ZONE
        } else {
            EVACUATED_ZONE
        }
    }

    /// Announces the drain of the present incarnation from now on; keeps serving requests.
    ///
    /// Returns the number of the incarnation; `None` if it drains already.
    pub(crate) async fn start_drain(&self) -> Option<u64> {
        self.incarnation.lock().await.state.start_drain()
    }

    /// Withdraws the announcement of an incarnation and ends it; returns false if another one runs.
    pub(crate) async fn withdraw(&self, number: u64) -> bool {
        let name = {
            let incarnation = self.incarnation.lock().await;
            if !incarnation.state.is_present(number) {
                return false;
            }
            incarnation.name.clone()
        };
        let message = self.templates.leave.fill(&[("name", &name)]);
        // The incarnation ends whether or not the withdrawal is acknowledged.
        let _ = send_to_control(&self.controls, &message).await;
        self.crash().await;
        true
    }
}

struct Announcer {
    name: String,
    address: SocketAddr,
    zone: &'static str,
    incarnation: u64,
    templates: Arc<Templates>,
    recorder: Arc<Recorder>,
    controls: Vec<SocketAddr>,
}

async fn announce(announcer: Announcer, draining: Arc<AtomicBool>) {
    let (address, incarnation) = (
        announcer.address.to_string(),
        announcer.incarnation.to_string(),
    );
    for sequence in 1_u64.. {
        let draining_now = draining.load(Ordering::SeqCst);
        let message = announcer.templates.announce.fill(&[
            ("name", &announcer.name),
            ("address", &address),
            ("zone", announcer.zone),
            ("state", if draining_now { "draining" } else { "ready" }),
            ("sequence", &sequence.to_string()),
            ("born", &incarnation),
        ]);
        let acknowledged = send_to_control(&announcer.controls, &message).await;
        if draining_now && acknowledged {
            let now = announcer.recorder.now();
            let mut history = announcer.recorder.history();
            if !history
                .drains
                .iter()
                .any(|(name, _)| *name == announcer.name)
            {
                history.drains.push((announcer.name.clone(), now));
            }
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL / 2).await;
        if !draining.load(Ordering::SeqCst) {
            tokio::time::sleep(ANNOUNCE_INTERVAL / 2).await;
        }
    }
}

/// Sends a message to a random replica; true if it was acknowledged.
async fn send_to_control(controls: &[SocketAddr], message: &str) -> bool {
    let address = controls[rand::rng().random_range(0..controls.len())];
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(message.as_bytes()).await.ok()?;
        read_message(&mut stream).await
    };
    let answer = tokio::time::timeout(ANNOUNCE_TIMEOUT, exchange).await;
    answer.is_ok_and(|a| a.is_some_and(|m| (200..300).contains(&m.status())))
}

/// Part of an upstream that accepts and runs requests.
#[derive(Clone)]
struct Server {
    name: String,
    templates: Arc<Templates>,
    recorder: Arc<Recorder>,
    mode: watch::Receiver<Mode>,
}

async fn serve(listener: TcpListener, server: Server) {
    // The set is dropped with this task, so that a crash breaks all connections.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let server = server.clone();
        connections.spawn(async move {
            // The entry may have closed the connection.
            let _ = server.answer(stream).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

impl Server {
    async fn answer(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let Some(request) = read_message(&mut stream).await.filter(|r| r.complete) else {
            return Ok(());
        };
        let id: u64 = request.body.trim().parse().unwrap_or(0);
        let mode = *self.mode.borrow();
        let header = self.templates.answer.header("attempt");
        let attempt = request.header(&header).to_owned();
        let named = [("attempt", attempt.as_str()), ("name", self.name.as_str())];
        let odd = rand::rng().random_bool(0.5);
        if mode == Mode::Full && odd {
            let refusal = self.templates.full.fill(&named);
            return stream.write_all(refusal.as_bytes()).await;
        }
        self.record_run(id);
        if mode == Mode::Hanging {
            tokio::time::sleep(HANG_TIME).await;
            return Ok(());
        }
        let cut = mode == Mode::Truncating && odd;
        if request.first_line().starts_with("POST /s/") {
            let (reader, writer) = stream.into_split();
            return self.stream(reader, writer, id, &request, &named, cut).await;
        }
        let slow = request.first_line().starts_with("POST /a/slow");
        let work = rand::rng().random_range(if slow { SLOW_WORK_MS } else { WORK_MS });
        tokio::time::sleep(Duration::from_millis(work)).await;
        let body = body_of(id);
        let values = [named[0], named[1], ("body", body.as_str())];
        let answer = self.templates.answer.fill(&values);
        let length = if cut { answer.len() - 10 } else { answer.len() };
        stream.write_all(&answer.as_bytes()[..length]).await
    }

    fn record_run(&self, id: u64) {
        let at = self.recorder.now();
        let mut history = self.recorder.history();
        history.runs.entry(id).or_default().push(Run {
            upstream: self.name.clone(),
            at,
        });
    }

    async fn stream<R, W>(
        &self,
        mut reader: R,
        mut writer: W,
        id: u64,
        request: &Message,
        named: &[(&str, &str)],
        cut: bool,
    ) -> io::Result<()>
    where
        R: AsyncReadExt + Unpin,
        W: AsyncWriteExt + Unpin,
    {
        let head = self.templates.events.fill(named);
        writer.write_all(head.as_bytes()).await?;
        let first: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let last_cut = first + rand::rng().random_range(1..EVENTS);
        let mut byte = [0];
        for number in first + 1..=EVENTS {
            tokio::select! {
                () = tokio::time::sleep(EVENT_INTERVAL) => {}
                // The entry has closed the connection.
                _ = reader.read(&mut byte) => return Ok(()),
            }
            let event = event_of(id, number);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if cut && number == last_cut {
                return writer.write_all(&chunk.as_bytes()[..chunk.len() / 2]).await;
            }
            writer.write_all(chunk.as_bytes()).await?;
        }
        writer.write_all(b"0\r\n\r\n").await
    }
}

/// Body of an answer that is not streamed.
pub(crate) fn body_of(id: u64) -> String {
    format!("answer {id} {}", "x".repeat((id % 3_000) as usize))
}

/// Event `number` of a streamed answer, counted from 1.
pub(crate) fn event_of(id: u64, number: u64) -> String {
    let end = if number == EVENTS { " end" } else { "" };
    format!("id: {number}\ndata: {id} {number}{end}\n\n")
}
