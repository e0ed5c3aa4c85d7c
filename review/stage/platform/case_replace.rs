//! Core machines are replaced, and another one is lost before they are removed from the log.

use std::io;
use std::time::Duration;

use crate::deploy::{CALLERS, CONTROL, Deployment};
use crate::net;
use crate::{Record, Verdict};

/// Time for which the successor of the first machine is up before that one is stopped; `catchUpS` is 4.
const SUCCESSOR_UP: Duration = Duration::from_secs(8);
/// Time from the end of the first machine to that of the second.
const SECOND_AFTER: Duration = Duration::from_millis(500);
/// Time between the stops of two replaced machines, and from the second one to the loss of the disk.
const BETWEEN_STOPS: Duration = Duration::from_millis(300);
/// Time from the end of the second machine to the start of its successor.
const EMPTY_AFTER: Duration = Duration::from_secs(1);
/// Time for which the configuration is read after that; `recoveryS` is 12.
const READ_FOR: f64 = 45.0;

const CONFIG: &str = r#"{"version":1,"routeTable":[{"name":"r-read","host":"desk.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":300,"priority":1,"service":"order-desk","maxAttempts":2,"public":true}],"services":[{"name":"order-desk","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// A core machine is replaced, and another one is gone for good.
pub fn run(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let mut stage = Deployment::start(3, 2)?;
    if !stage.configure(CONFIG) {
        return Ok(Verdict::NotRun);
    }
    record.line("operator has the acknowledgement of version 1");
    let controls = stage.of("control");
    for entry in stage.of("entry") {
        if !stage.wait_ready(entry) {
            return Ok(Verdict::NotRun);
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    let third = stage.join_core()?;
    record.line(format!("platform adds {} with an empty disk", stage.machines[third].name));
    std::thread::sleep(SUCCESSOR_UP);
    let first = controls[2];
    record.line(format!("platform stops {} for good (SIGTERM)", stage.machines[first].name));
    stage.stop(first);
    if trouble {
        std::thread::sleep(SECOND_AFTER);
    } else {
        std::thread::sleep(Duration::from_secs(8));
    }
    let mut running = vec![controls[0], controls[1], third];
    if trouble {
        let second = controls[1];
        record.line(format!("platform removes {} for good (SIGKILL)", stage.machines[second].name));
        stage.kill(second);
        std::thread::sleep(EMPTY_AFTER);
        let name = &stage.machines[first].name;
        record.line(format!("{name} has ended: {}", stage.has_ended(first)));
        let successor = stage.join_core()?;
        record.line(format!("platform adds {} with an empty disk", stage.machines[successor].name));
        running = vec![controls[0], third, successor];
    }
    Ok(read_back(&stage, &running, CONFIG, record))
}

/// Two core machines are replaced, and a third one loses its disk before they are removed from the log.
pub fn run_disk(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let mut stage = Deployment::start(3, 2)?;
    if !stage.configure(CONFIG) {
        return Ok(Verdict::NotRun);
    }
    record.line("operator has the acknowledgement of version 1");
    let controls = stage.of("control");
    for entry in stage.of("entry") {
        if !stage.wait_ready(entry) {
            return Ok(Verdict::NotRun);
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    let mut running = vec![controls[0]];
    for _ in 0..2 {
        let added = stage.join_core()?;
        record.line(format!("platform adds {} with an empty disk", stage.machines[added].name));
        running.push(added);
        std::thread::sleep(Duration::from_secs(1));
    }
    std::thread::sleep(SUCCESSOR_UP);
    for machine in &controls[1..] {
        record.line(format!("platform stops {} for good (SIGTERM)", stage.machines[*machine].name));
        stage.stop(*machine);
        std::thread::sleep(if trouble { BETWEEN_STOPS } else { Duration::from_secs(8) });
    }
    let second = CONFIG.replacen("\"version\":1", "\"version\":2", 1);
    let sent = net::call(
        stage.at(controls[0], CONTROL),
        "PUT",
        "/-/config",
        &[("Content-Type", "application/json")],
        second.as_bytes(),
        Duration::from_secs(1),
    );
    let acknowledged = sent.is_ok_and(|(head, ..)| head.status() == 200);
    record.line(format!("{} acknowledges version 2: {acknowledged}", stage.machines[controls[0]].name));
    if !acknowledged {
        return Ok(Verdict::NotRun);
    }
    if trouble {
        record.line(format!("{} loses its disk and is back 1 s later", stage.machines[controls[0]].name));
        stage.kill(controls[0]);
        stage.wipe(controls[0])?;
        std::thread::sleep(EMPTY_AFTER);
        for machine in &controls[1..] {
            record.line(format!("{} has ended: {}", stage.machines[*machine].name, stage.has_ended(*machine)));
        }
        stage.spawn(controls[0], false)?;
    }
    Ok(read_back(&stage, &running, &second, record))
}

/// Reads the configuration for a while; it has to come again within the first half of it.
fn read_back(stage: &Deployment, running: &[usize], sent: &str, record: &Record) -> Verdict {
    let start = record.seconds();
    let (mut read, mut failed, mut last) = (0, 0, 0.0);
    while record.seconds() - start < READ_FOR {
        for machine in running {
            let limit = Duration::from_secs(1);
            let asked = net::call(stage.at(*machine, CONTROL), "GET", "/-/config", &[], b"", limit);
            let name = &stage.machines[*machine].name;
            match asked {
                Ok((head, body, _)) if head.status() == 200 => {
                    read += 1;
                    last = record.seconds() - start;
                    record.line(format!("operator reads at {name}: 200, as sent {}", body == sent.as_bytes()));
                }
                Ok((head, ..)) => {
                    failed += 1;
                    record.line(format!("operator reads at {name}: {}", head.first));
                }
                Err(e) => {
                    failed += 1;
                    record.line(format!("operator reads at {name}: {e}"));
                }
            }
        }
        std::thread::sleep(Duration::from_secs(3));
    }
    for entry in stage.of("entry") {
        let headers = [("Host", "desk.example"), ("Pimentotide-Attempt-Id", "51"), ("Pimentotide-Deadline-Ms", "4000")];
        let limit = Duration::from_secs(5);
        let asked = net::call(stage.at(entry, CALLERS), "GET", "/read/entry", &headers, b"", limit);
        let answer = asked.map_or_else(|e| e.to_string(), |(h, b, _)| format!("{} {}", h.first, String::from_utf8_lossy(&b)));
        record.line(format!("client asks {}: {answer}", stage.machines[entry].name));
    }
    record.line(format!("{read} reads of the configuration, the last {last:.1} s after the last machine came; {failed} without"));
    if last < READ_FOR / 2.0 { Verdict::Broken } else { Verdict::Held }
}
