//! Scripts of the review, by name.

mod standin;

use standin::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Longest time for which a worker is faulty at a stretch, seconds.
const GARBLE_S: f64 = 5.0;
/// Times at which a worker begins to give some of its answers without a length.
const UNFRAMED: [f64; 3] = [7.0, 14.0, 21.0];

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("disk") => disk(),
        Some("evacuation") => evacuation(),
        Some("spoilt") => spoilt(),
        Some("unframed") => unframed(),
        Some("poison") => poison(),
        Some("worker") => worker(std::env::args().skip(2).collect()),
        other => {
            eprintln!("unknown case {other:?}");
            std::process::exit(NOT_RUN);
        }
    }
}

/// Runs a stand-in worker until it is killed.
fn worker(arguments: Vec<String>) {
    let [name, zone, numbers @ ..] = &arguments[..] else {
        std::process::exit(NOT_RUN);
    };
    let number = |n: usize| {
        numbers
            .get(n)
            .and_then(|a| a.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let net = (number(1) as u8, number(2) as u8);
    let run = Run::attach(net, number(3) as u16, number(5));
    if number(4) == 1 {
        let times = UNFRAMED
            .iter()
            .map(|at| (name.clone(), *at, *at + GARBLE_S));
        run.faulty.lock().unwrap().extend(times);
    }
    Worker::start(
        &run,
        name,
        "desk",
        zone,
        number(0) as u8,
        vec![1, 2, 3],
        Arc::default(),
    );
    loop {
        sleep_ms(1000);
    }
}

/// Starts three control machines, one in each zone, and gives them the first configuration.
fn start_core(run: &Arc<Run>) {
    for n in 1..=3u8 {
        run.settings(
            &format!("core-{n}"),
            "control",
            n,
            &format!("zone-{n}"),
            &[1, 2, 3],
            true,
        );
        run.start(&format!("core-{n}"));
    }
    let first = run.order(
        "PUT",
        "/-/config",
        &configuration(1),
        &[1, 2, 3],
        Duration::from_secs(15),
    );
    if first.map(|(status, _)| status) != Some(200) {
        run.finish(NOT_RUN, "the first configuration was not acknowledged");
    }
}

/// A core machine is replaced as planned; later another one loses its disk.
fn disk() {
    let run = Run::open("disk");
    start_core(&run);
    run.settings("entry-1", "entry", 11, "zone-1", &[1, 2, 3], true);
    run.start("entry-1");
    let arrivals = Arc::default();
    Worker::start(&run, "i-1", "desk", "zone-1", 21, vec![1, 2, 3], arrivals);
    if !run.wait_ready(11, Duration::from_secs(15)) {
        run.finish(NOT_RUN, "the entry did not become ready");
    }
    run.until(8.0);
    let mut core = vec![1u8, 2, 3];
    if run.trouble {
        // The new one comes first, with an empty disk at another address.
        run.settings("core-4", "control", 4, "zone-3", &[1, 2, 3], false);
        run.start("core-4");
        run.until(14.0);
        // It has been up for longer than catchUpS (4 s). The old one is removed for good, "with or without
        // SIGTERM"; HOW=term is the first of these.
        if std::env::var("HOW").is_ok_and(|h| h == "term") {
            run.signal("core-3", SIGTERM);
            if !run.ended("core-3", Duration::from_secs(8)) {
                run.end("core-3");
            }
        } else {
            run.end("core-3");
        }
        core = vec![1, 2, 4];
    }
    // More than connectivityWindowMs (3 s) after the core's last event, so that it is stable again.
    run.until(17.5);
    let newest = 7;
    let acknowledged = run.order(
        "PUT",
        "/-/config",
        &configuration(newest),
        &core,
        Duration::from_secs(10),
    );
    if acknowledged.map(|(status, _)| status) != Some(200) {
        run.finish(
            NOT_RUN,
            "the second configuration was not acknowledged before the disk was lost",
        );
    }
    if run.trouble {
        // One machine with a disk, as faultTolerance allows; it is back after a second, without its disk.
        run.end("core-1");
        run.wipe("core-1");
        run.settings("core-1", "control", 1, "zone-1", &[1, 2, 4], false);
        sleep_ms(1000);
        run.start("core-1");
    }
    // The operator reads back what was acknowledged, long after recoveryS (12 s).
    let back = run.now();
    let mut last = String::new();
    let mut read = None;
    while run.now() < back + 45.0 && read.is_none() {
        for daemon in &core {
            let to = run.address(*daemon, run.ports.control);
            let answer = http(to, "GET", "/-/config", &[], b"", Duration::from_secs(1));
            let told = match &answer {
                Ok(a) => format!(
                    "{} {}",
                    a.status,
                    String::from_utf8_lossy(&a.body[..a.body.len().min(60)])
                ),
                Err(e) => format!("no answer ({e})"),
            };
            let line = format!("operator: GET /-/config from core-{daemon}: {told}");
            if line != last || run.now() > back + 43.0 {
                run.note(&line);
            }
            last = line;
            if run.now() > back + 16.0 {
                if let Ok(a) = answer {
                    if a.status == 200 {
                        read = Some(String::from_utf8_lossy(&a.body).into_owned());
                        break;
                    }
                }
            }
        }
        if !run.trouble && read.is_none() && run.now() > back + 16.0 {
            break;
        }
        sleep_ms(500);
    }
    let caller = run.address(11, run.ports.callers);
    let headers = [
        ("Host", "desk.example"),
        ("Pimentotide-Attempt-Id", "a1"),
        ("Pimentotide-Deadline-Ms", "4000"),
    ];
    match http(
        caller,
        "GET",
        "/read/work-20",
        &headers,
        b"",
        Duration::from_secs(4),
    ) {
        Ok(a) => run.note(&format!(
            "client: GET /read/work-20: {} {}",
            a.status,
            String::from_utf8_lossy(&a.body).trim()
        )),
        Err(e) => run.note(&format!("client: GET /read/work-20: no answer ({e})")),
    }
    match read {
        Some(text) if text == configuration(newest) => run.finish(HELD, "the newest configuration is read back"),
        Some(_) => run.finish(BROKEN, "CONFIG: another configuration is read back"),
        None => run.finish(BROKEN, "CONFIG: the acknowledged configuration does not come, 45 s after one of three disks was lost"),
    }
}

/// A withdrawal of an evacuation waits at a frozen core machine; meanwhile the zone is evacuated again.
fn evacuation() {
    let run = Run::open("evacuation");
    start_core(&run);
    run.settings("entry-1", "entry", 11, "zone-1", &[1, 2, 3], true);
    run.start("entry-1");
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    for (n, zone) in [(1u8, "zone-1"), (2, "zone-1"), (3, "zone-2"), (4, "zone-3")] {
        Worker::start(
            &run,
            &format!("i-{n}"),
            "desk",
            zone,
            20 + n,
            vec![1, 2, 3],
            arrivals.clone(),
        );
    }
    if !run.wait_ready(11, Duration::from_secs(15)) {
        run.finish(NOT_RUN, "the entry did not become ready");
    }
    let caller = run.address(11, run.ports.callers);
    let clients = run.clone();
    thread::spawn(move || {
        for n in 0.. {
            let of = clients.clone();
            thread::spawn(move || {
                let id = format!("r{n}");
                let headers = [
                    ("Host", "desk.example"),
                    ("Pimentotide-Attempt-Id", id.as_str()),
                    ("Pimentotide-Deadline-Ms", "4000"),
                ];
                let answer = http(
                    caller,
                    "GET",
                    "/read/work-20",
                    &headers,
                    b"",
                    Duration::from_secs(4),
                );
                of.note(&format!(
                    "client: GET /read/work-20 {id}: {}",
                    answer.map_or_else(|e| e.to_string(), |a| a.status.to_string())
                ));
            });
            sleep_ms(100);
        }
    });
    let clear = |what: Option<(u16, f64)>| match what {
        Some((200..=299, at)) => at,
        _ => run.finish(NOT_RUN, "an order of the operator was not acknowledged"),
    };
    let limit = Duration::from_secs(4);
    run.until(8.0);
    clear(run.order("POST", "/-/evacuate/zone-1", "", &[1, 2, 3], limit));
    run.until(12.0);
    if run.trouble {
        run.signal("core-2", SIGSTOP);
    }
    sleep_ms(100);
    // The operator picks core-2 first, and another one after a second without a response.
    clear(run.order("DELETE", "/-/evacuate/zone-1", "", &[2, 3, 1], limit));
    run.until(14.5);
    let evacuated = clear(run.order("POST", "/-/evacuate/zone-1", "", &[3, 1], limit));
    run.until(16.0);
    if run.trouble {
        run.signal("core-2", SIGCONT);
    }
    // evacuationMs (5 s) after the acknowledgement, and connectivityWindowMs (3 s) after the core's last event.
    let from = (evacuated + 5.0).max(19.0);
    run.until(30.0);
    let seen: Vec<Arrival> = arrivals.lock().unwrap().clone();
    let late: Vec<&Arrival> = seen
        .iter()
        .filter(|a| a.zone == "zone-1" && a.ran && a.at > from)
        .collect();
    let all = seen.iter().filter(|a| a.at > from).count();
    run.note(&format!("zone-1 is evacuated from {evacuated:.3} on; from {from:.3} to 30 its workers run {} of {all} requests", late.len()));
    if all < 20 {
        run.finish(NOT_RUN, "too few requests reached workers");
    }
    match late.first() {
        Some(a) => run.finish(
            BROKEN,
            &format!(
                "EVAC: request {} reaches {} in zone-1 at {:.3}",
                a.id, a.worker, a.at
            ),
        ),
        None => run.finish(HELD, "nothing reaches the evacuated zone"),
    }
}

/// A request that crashes each worker that runs it, after some events, comes again and again.
fn poison() {
    let run = Run::open("poison");
    start_core(&run);
    run.settings("entry-1", "entry", 11, "zone-1", &[1, 2, 3], true);
    run.start("entry-1");
    // Each worker is a process. One that has crashed is back after some seconds, with another id.
    let names: Arc<Mutex<Vec<String>>> = Arc::default();
    for n in 1..=6u8 {
        let (of, names) = (run.clone(), names.clone());
        thread::spawn(move || {
            for start in 0.. {
                let name = format!("i-{n}-{start}");
                names.lock().unwrap().push(name.clone());
                of.start_worker(&name, "zone-1", 20 + n, false);
                of.ended(&name, Duration::from_secs(200));
                sleep_ms(2500);
            }
        });
    }
    if !run.wait_ready(11, Duration::from_secs(15)) {
        run.finish(NOT_RUN, "the entry did not become ready");
    }
    run.until(4.0);
    let caller = run.address(11, run.ports.callers);
    let events = std::env::var("EVENTS").unwrap_or_else(|_| "3".into());
    let path = match run.trouble {
        true => format!("/draft/crash-{events}-30"),
        false => format!("/draft/stream-{events}-30"),
    };
    // Other callers lodge orders meanwhile.
    let lost: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let (others, cut) = (run.clone(), lost.clone());
    thread::spawn(move || {
        for n in 0.. {
            let (of, cut) = (others.clone(), cut.clone());
            thread::spawn(move || {
                let id = format!("o{n}");
                let headers = [
                    ("Host", "desk.example"),
                    ("Pimentotide-Attempt-Id", id.as_str()),
                    ("Pimentotide-Deadline-Ms", "4000"),
                ];
                let answer = http(
                    caller,
                    "POST",
                    "/lodge/work-300",
                    &headers,
                    id.as_bytes(),
                    Duration::from_secs(4),
                );
                let served = matches!(&answer, Ok(a) if a.status == 200);
                let told = answer.map_or_else(|e| e.to_string(), |a| a.status.to_string());
                of.note(&format!("client: order {id}: {told}"));
                if !served {
                    cut.lock().unwrap().push((of.now(), id));
                }
            });
            sleep_ms(40);
        }
    });
    let mut whole = 0;
    for n in 0..14 {
        let id = format!("p{n}");
        let headers = [
            ("Host", "desk.example"),
            ("Pimentotide-Attempt-Id", id.as_str()),
            ("Pimentotide-Deadline-Ms", "8000"),
        ];
        match http(
            caller,
            "POST",
            &path,
            &headers,
            b"the same prompt",
            Duration::from_secs(8),
        ) {
            Ok(a) => {
                whole += usize::from(a.status == 200);
                run.note(&format!(
                    "client: {id}: {} with {} bytes",
                    a.status,
                    a.body.len()
                ));
            }
            Err(e) => run.note(&format!("client: {id}: {e}")),
        }
        sleep_ms(2500);
    }
    let names = names.lock().unwrap().clone();
    let mut crashes: Vec<(f64, String)> = Vec::new();
    for name in &names {
        for line in run.worker_notes(name).lines() {
            run.note(&format!("(recorded by {name}) {}", line.trim()));
            if line.contains("it crashes the worker") {
                let words: Vec<&str> = line.split_whitespace().collect();
                let of = words.iter().position(|w| *w == "ran");
                let id = of.and_then(|p| words.get(p.wrapping_sub(1)));
                let at = of
                    .and_then(|p| words.get(p + 2))
                    .and_then(|w| w.trim_end_matches(':').parse().ok());
                if let (Some(id), Some(at)) = (id, at) {
                    crashes.push((at, (*id).to_owned()));
                }
            }
        }
    }
    crashes.sort_by(|a, b| a.0.total_cmp(&b.0));
    run.note(&format!("the request crashed {} workers", crashes.len()));
    if !run.trouble {
        run.finish(if whole == 14 { HELD } else { NOT_RUN }, "nothing crashes");
    }
    let Some(third) = crashes.get(2).map(|c| c.0) else {
        run.finish(HELD, "the request crashed fewer than three workers");
    };
    // connectivityWindowMs is 3 s; one second more for the run that crashed the third.
    let late: Vec<&(f64, String)> = crashes.iter().filter(|c| c.0 > third + 4.0).collect();
    // A client's own retries are new requests: of each attempt, only the sends after its first count.
    let again = late
        .iter()
        .filter(|a| crashes.iter().any(|b| b.1 == a.1 && b.0 < a.0))
        .count();
    let after = lost
        .lock()
        .unwrap()
        .iter()
        .filter(|(at, _)| *at > third + 4.0)
        .count();
    run.note(&format!(
        "the run that crashed the third began at {third:.3}; more than 4 s later {} sends reached workers, {again} of them retries",
        late.len()
    ));
    run.note(&format!(
        "orders of other callers without an answer of a worker in that time: {after}"
    ));
    if again > 3 {
        run.finish(
            BROKEN,
            &format!("BUDGET: a request that has crashed three workers reaches workers in {again} retries more"),
        );
    }
    run.finish(HELD, "a request that crashes workers is no longer sent");
}

/// One of three workers spoils some of its streams; callers get whole streams all the same.
fn spoilt() {
    let run = Run::open("spoilt");
    start_core(&run);
    run.settings("entry-1", "entry", 11, "zone-1", &[1, 2, 3], true);
    run.start("entry-1");
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    for n in 1..=3u8 {
        Worker::start(
            &run,
            &format!("i-{n}"),
            "desk",
            "zone-1",
            20 + n,
            vec![1, 2, 3],
            arrivals.clone(),
        );
    }
    if !run.wait_ready(11, Duration::from_secs(15)) {
        run.finish(NOT_RUN, "the entry did not become ready");
    }
    run.until(4.0);
    if run.trouble {
        let times = [5.0, 20.0, 35.0].map(|at| ("i-1".to_owned(), at, at + GARBLE_S));
        run.faulty.lock().unwrap().extend(times);
    }
    let caller = run.address(11, run.ports.callers);
    let wrong: Arc<Mutex<Vec<String>>> = Arc::default();
    let whole = Arc::new(Mutex::new(0));
    let mut threads = Vec::new();
    for c in 0..16 {
        let (of, wrong, whole) = (run.clone(), wrong.clone(), whole.clone());
        threads.push(thread::spawn(move || {
            for n in 0.. {
                if of.now() > 44.0 {
                    break;
                }
                let id = format!("s{c}x{n}");
                let headers = [
                    ("Host", "desk.example"),
                    ("Pimentotide-Attempt-Id", id.as_str()),
                    ("Pimentotide-Deadline-Ms", "8000"),
                ];
                match http(
                    caller,
                    "POST",
                    "/draft/stream-28-30",
                    &headers,
                    id.as_bytes(),
                    Duration::from_secs(8),
                ) {
                    Ok(a) if a.status == 200 => {
                        let text = String::from_utf8_lossy(&a.body).into_owned();
                        let ids: Vec<u64> = text
                            .lines()
                            .filter_map(|l| l.strip_prefix("id: "))
                            .filter_map(|l| l.parse().ok())
                            .collect();
                        if ids == (1..=28).collect::<Vec<u64>>() {
                            of.note(&format!(
                                "client: POST /draft/stream-28-30 {id}: 200, whole"
                            ));
                            *whole.lock().unwrap() += 1;
                        } else {
                            of.note(&format!(
                                "client: {id}: 200, ends as complete, pieces {ids:?}"
                            ));
                            wrong.lock().unwrap().push(id);
                        }
                    }
                    Ok(a) => of.note(&format!("client: {id}: {}", a.status)),
                    Err(e) => of.note(&format!("client: {id}: {e}")),
                }
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let (wrong, whole) = (wrong.lock().unwrap().clone(), *whole.lock().unwrap());
    run.note(&format!(
        "{whole} streams came whole; ended as complete with a piece missing: {wrong:?}"
    ));
    if whole < 100 {
        run.finish(NOT_RUN, "too few streams came whole");
    }
    match wrong.is_empty() {
        true => run.finish(
            HELD,
            "every stream that ends as complete has all its pieces",
        ),
        false => run.finish(
            BROKEN,
            &format!(
                "ORDER: {} streams end as complete with a piece missing",
                wrong.len()
            ),
        ),
    }
}

/// A worker crashes while it sends an answer without a length.
fn unframed() {
    let run = Run::open("unframed");
    start_core(&run);
    run.settings("entry-1", "entry", 11, "zone-1", &[1, 2, 3], true);
    run.start("entry-1");
    for n in 1..=3u8 {
        run.start_worker(&format!("i-{n}"), "zone-1", 20 + n, n == 1);
    }
    if !run.wait_ready(11, Duration::from_secs(15)) {
        run.finish(NOT_RUN, "the entry did not become ready");
    }
    run.until(4.0);
    let caller = run.address(11, run.ports.callers);
    let short: Arc<Mutex<Vec<String>>> = Arc::default();
    let whole = Arc::new(Mutex::new(0));
    let mut threads = Vec::new();
    for c in 0..9 {
        let (of, short, whole) = (run.clone(), short.clone(), whole.clone());
        threads.push(thread::spawn(move || {
            for n in 0.. {
                if of.now() > 30.0 {
                    break;
                }
                // Two reads, then an order.
                let id = format!("u{c}x{n}");
                let (method, path) = if n % 3 == 2 { ("POST", "/lodge/work-100") } else { ("GET", "/read/work-100") };
                let body: &[u8] = if method == "POST" { b"lodge this" } else { b"" };
                let headers = [("Host", "desk.example"), ("Pimentotide-Attempt-Id", id.as_str()), ("Pimentotide-Deadline-Ms", "4000")];
                match http(caller, method, path, &headers, body, Duration::from_secs(4)) {
                    Ok(a) if a.status == 200 => {
                        let text = String::from_utf8_lossy(&a.body).into_owned();
                        if text == half(&id, 1) + &half(&id, 2) {
                            of.note(&format!("client: {method} {path} {id}: 200, whole"));
                            *whole.lock().unwrap() += 1;
                        } else {
                            let stamp = a.headers.get("pimentotide-server-stamp").cloned().unwrap_or_default();
                            let length = a.headers.get("content-length").cloned();
                            of.note(&format!("client: {method} {path} {id}: 200, stamp {stamp}, length {length:?}, {} bytes, then the connection is closed in order", a.body.len()));
                            short.lock().unwrap().push(id);
                        }
                    }
                    Ok(a) => of.note(&format!("client: {method} {path} {id}: {}", a.status)),
                    Err(e) => of.note(&format!("client: {method} {path} {id}: {e}")),
                }
            }
        }));
    }
    let mut names = vec!["i-1".to_owned(), "i-2".to_owned(), "i-3".to_owned()];
    for crash in 1..=3 {
        let name = names
            .last()
            .filter(|_| crash > 1)
            .cloned()
            .unwrap_or_else(|| "i-1".to_owned());
        run.until(UNFRAMED[crash - 1]);
        if !run.trouble {
            continue;
        }
        // The worker is killed while it sends such an answer.
        let begun = |text: &str| text.matches("begins to answer without a length").count();
        let before = begun(&run.worker_notes(&name));
        let until = run.now() + GARBLE_S;
        while run.now() < until && begun(&run.worker_notes(&name)) == before {
            sleep_ms(5);
        }
        run.end(&name);
        // It is back after some seconds, with another id.
        sleep_ms(2500);
        let next = format!("i-1-{crash}");
        run.start_worker(&next, "zone-1", 21, true);
        names.push(next);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let (short, whole) = (short.lock().unwrap().clone(), *whole.lock().unwrap());
    for name in &names {
        for line in run.worker_notes(name).lines() {
            run.note(&format!("(recorded by {name}) {}", line.trim()));
        }
    }
    run.note(&format!(
        "{whole} answers came whole; successes with half of the worker's body: {short:?}"
    ));
    if whole < 100 {
        run.finish(NOT_RUN, "too few answers came whole");
    }
    match short.is_empty() {
        true => run.finish(HELD, "every success has the worker's whole body"),
        false => run.finish(
            BROKEN,
            &format!(
                "MIXED: {} successes have half of the worker's body",
                short.len()
            ),
        ),
    }
}
