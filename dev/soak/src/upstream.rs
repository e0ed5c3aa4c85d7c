//! Stand-in upstreams: they announce themselves, run requests and keep a ledger.

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

use crate::history::{Notes, Run};
use crate::proxy::Proxy;
use pimentotide_wire::{Message, Template, read_message};

/// Pause between announcements.
const ANNOUNCE: Duration = Duration::from_millis(500);
/// Longest wait for the answer to one.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(1);
/// Events of a stream.
pub(crate) const EVENTS: u64 = 8;
/// Time between them.
const EVENT_GAP: Duration = Duration::from_millis(12);
/// Time that a whole answer takes, ms.
const WORK_MS: std::ops::Range<u64> = 3..40;
/// Silence of an upstream that hangs.
const HANG: Duration = Duration::from_secs(10);

/// How an upstream treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mood {
    /// As it should.
    #[default]
    Sound,
    /// Takes them and says nothing.
    Hanging,
    /// Refuses each second one without running it.
    Full,
    /// Runs them and breaks off in the middle of each second answer.
    Cutting,
}

/// Messages that upstreams say and understand.
#[derive(Clone, Debug)]
struct Words {
    announce: Template,
    leave: Template,
    answer: Template,
    events: Template,
    full: Template,
}

/// A stand-in upstream that can be crashed, started anew and told to leave.
#[derive(Debug)]
pub(crate) struct StandIn {
    number: usize,
    words: Arc<Words>,
    notes: Arc<Notes>,
    controls: Vec<SocketAddr>,
    pub(crate) proxy: Proxy,
    mood: watch::Sender<Mood>,
    life: tokio::sync::Mutex<Life>,
}

/// One start of an upstream.
#[derive(Debug)]
struct Life {
    name: String,
    leaving: Arc<AtomicBool>,
    tasks: Vec<AbortHandle>,
    starts: u64,
}

impl StandIn {
    /// Starts an upstream that announces itself to one of `controls`.
    pub(crate) async fn spawn(
        number: usize,
        controls: Vec<SocketAddr>,
        notes: Arc<Notes>,
    ) -> io::Result<Self> {
        let words = Words {
            announce: Template::open("soak/announce.http")?,
            leave: Template::open("soak/leave.http")?,
            answer: Template::open("soak/answer.http")?,
            events: Template::open("soak/events.http")?,
            full: Template::open("soak/full.http")?,
        };
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let stand_in = Self {
            number,
            words: Arc::new(words),
            notes,
            controls,
            proxy: Proxy::bind(nowhere).await?,
            mood: watch::Sender::default(),
            life: tokio::sync::Mutex::new(Life {
                name: String::new(),
                leaving: Arc::default(),
                tasks: Vec::new(),
                starts: 0,
            }),
        };
        stand_in.start().await?;
        Ok(stand_in)
    }

    pub(crate) fn set(&self, mood: Mood) {
        self.mood.send_replace(mood);
    }

    /// Ends the present start without a word; its connections break.
    pub(crate) async fn crash(&self) {
        for task in self.life.lock().await.tasks.drain(..) {
            task.abort();
        }
    }

    /// Starts anew under another name, at another port.
    pub(crate) async fn start(&self) -> io::Result<()> {
        let mut life = self.life.lock().await;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.proxy.lead(listener.local_addr()?);
        life.starts += 1;
        life.name = format!("u{}.{}", self.number, life.starts);
        life.leaving = Arc::default();
        let server = Server {
            name: life.name.clone(),
            words: self.words.clone(),
            notes: self.notes.clone(),
            mood: self.mood.subscribe(),
        };
        let serving = tokio::spawn(serve(listener, server));
        let announcing = tokio::spawn(announce(
            Announcer {
                name: life.name.clone(),
                address: self.proxy.address(),
                born: life.starts,
                words: self.words.clone(),
                notes: self.notes.clone(),
                controls: self.controls.clone(),
            },
            life.leaving.clone(),
        ));
        life.tasks = vec![serving.abort_handle(), announcing.abort_handle()];
        Ok(())
    }

    /// Announces that it leaves; goes on with what comes.
    pub(crate) async fn leave(&self) {
        self.life.lock().await.leaving.store(true, Ordering::SeqCst);
    }

    /// Says that it is gone, and ends.
    pub(crate) async fn finish(&self) {
        let name = self.life.lock().await.name.clone();
        let message = self.words.leave.fill(&[("name", &name)]);
        // It ends whether it was heard or not.
        let _ = say(&self.controls, &message).await;
        self.crash().await;
    }
}

struct Announcer {
    name: String,
    address: SocketAddr,
    born: u64,
    words: Arc<Words>,
    notes: Arc<Notes>,
    controls: Vec<SocketAddr>,
}

async fn announce(announcer: Announcer, leaving: Arc<AtomicBool>) {
    let (address, born) = (announcer.address.to_string(), announcer.born.to_string());
    for sequence in 1_u64.. {
        let leaves = leaving.load(Ordering::SeqCst);
        let message = announcer.words.announce.fill(&[
            ("name", &announcer.name),
            ("address", &address),
            ("state", if leaves { "draining" } else { "ready" }),
            ("sequence", &sequence.to_string()),
            ("born", &born),
        ]);
        let heard = say(&announcer.controls, &message).await;
        if leaves && heard {
            let now = announcer.notes.now();
            let mut history = announcer.notes.history();
            if !history
                .drains
                .iter()
                .any(|(name, _)| *name == announcer.name)
            {
                history.drains.push((announcer.name.clone(), now));
            }
        }
        tokio::time::sleep(ANNOUNCE / 2).await;
        if !leaving.load(Ordering::SeqCst) {
            tokio::time::sleep(ANNOUNCE / 2).await;
        }
    }
}

/// Says something to some replica; true if it was acknowledged.
async fn say(controls: &[SocketAddr], message: &str) -> bool {
    let address = controls[rand::rng().random_range(0..controls.len())];
    let asking = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(message.as_bytes()).await.ok()?;
        read_message(&mut stream).await
    };
    let answer = tokio::time::timeout(ANNOUNCE_LIMIT, asking).await;
    answer.is_ok_and(|a| a.is_some_and(|m| (200..300).contains(&m.status())))
}

/// Side of an upstream that takes requests.
#[derive(Clone)]
struct Server {
    name: String,
    words: Arc<Words>,
    notes: Arc<Notes>,
    mood: watch::Receiver<Mood>,
}

async fn serve(listener: TcpListener, server: Server) {
    // Dropped with this task, so that a crash breaks all connections.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let server = server.clone();
        connections.spawn(async move {
            // The entry may have gone.
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
        let mood = *self.mood.borrow();
        let header = self.words.answer.header("attempt");
        let attempt = request.header(&header).to_owned();
        let named = [("attempt", attempt.as_str()), ("name", self.name.as_str())];
        let odd = rand::rng().random_bool(0.5);
        if mood == Mood::Full && odd {
            let refusal = self.words.full.fill(&named);
            return stream.write_all(refusal.as_bytes()).await;
        }
        self.note(id);
        if mood == Mood::Hanging {
            tokio::time::sleep(HANG).await;
            return Ok(());
        }
        let cut = mood == Mood::Cutting && odd;
        if request.first_line().starts_with("POST /s/") {
            let (reader, writer) = stream.into_split();
            return self.stream(reader, writer, id, &request, &named, cut).await;
        }
        let work = rand::rng().random_range(WORK_MS);
        tokio::time::sleep(Duration::from_millis(work)).await;
        let body = body_of(id);
        let values = [named[0], named[1], ("body", body.as_str())];
        let answer = self.words.answer.fill(&values);
        let length = if cut { answer.len() - 10 } else { answer.len() };
        stream.write_all(&answer.as_bytes()[..length]).await
    }

    fn note(&self, id: u64) {
        let at = self.notes.now();
        let mut history = self.notes.history();
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
        let head = self.words.events.fill(named);
        writer.write_all(head.as_bytes()).await?;
        let first: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let last_cut = first + rand::rng().random_range(1..EVENTS);
        let mut byte = [0];
        for number in first + 1..=EVENTS {
            tokio::select! {
                () = tokio::time::sleep(EVENT_GAP) => {}
                // The caller has gone.
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

/// Body of the whole answer to a request.
pub(crate) fn body_of(id: u64) -> String {
    format!("answer {id} {}", "x".repeat((id % 3_000) as usize))
}

/// One event of the answer to a request.
pub(crate) fn event_of(id: u64, number: u64) -> String {
    let end = if number == EVENTS { " end" } else { "" };
    format!("id: {number}\ndata: {id} {number}{end}\n\n")
}
