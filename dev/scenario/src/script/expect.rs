//! Parses the operands of `expect`.

use pimentotide_model::{ErrorKind, Ran};

use super::statement::Expect;
use super::words::Words;

pub(super) fn expect(words: &mut Words<'_>) -> Result<Expect, String> {
    let first = words.next("what is expected")?;
    Ok(match first {
        "answered" => Expect::Answered(words.name("a request")?),
        "refused" => refused(words)?,
        "runs" => {
            let key = words.name("a request or a key")?;
            Expect::Runs(key, count(words)?)
        }
        "no" if words.accept("leader") => Expect::Leader(None),
        "no" => work(words, false)?,
        "work" => work_at(words, true)?,
        "order" => {
            let id = words.name("an order")?;
            let verdict = words.next("accepted, conflict, mismatch or invalid")?;
            let allowed = ["accepted", "conflict", "mismatch", "invalid"];
            if !allowed.contains(&verdict) {
                return Err(format!("expected one of {allowed:?}, found {verdict:?}"));
            }
            Expect::Verdict(id, verdict.to_owned())
        }
        "revision" => {
            let revision = words.number("a revision")?;
            Expect::Revision(revision, words.accept("everywhere"))
        }
        "leader" if words.accept("not") => Expect::NotLeader(words.name("an instance")?),
        "leader" => Expect::Leader(Some(words.name("an instance or any")?)),
        "served" => Expect::Served(count(words)?),
        "settled" if words.is_empty() => Expect::Settled(None),
        "settled" => Expect::Settled(Some(words.number("a map")?)),
        "ended" => Expect::Ended,
        "crashes" => Expect::Crashes(count(words)?),
        other => return Err(format!("{other:?} is not an expectation")),
    })
}

fn count(words: &mut Words<'_>) -> Result<u32, String> {
    let number = words.number("a number")?;
    u32::try_from(number).map_err(|_| "the number is too large".to_owned())
}

fn work(words: &mut Words<'_>, some: bool) -> Result<Expect, String> {
    words.expect("work")?;
    work_at(words, some)
}

fn work_at(words: &mut Words<'_>, some: bool) -> Result<Expect, String> {
    words.expect("at")?;
    let place = words.name("a zone or an upstream")?;
    words.expect("for")?;
    let span = words.duration()?;
    Ok(Expect::Work { place, some, span })
}

fn refused(words: &mut Words<'_>) -> Result<Expect, String> {
    let name = words.name("a request")?;
    let kind = words.option("as")?;
    let kind = kind.map(|k| error_kind(&k)).transpose()?;
    let ran = words.option("ran")?;
    let ran = ran.map(|r| ran_state(&r)).transpose()?;
    Ok(Expect::Refused(name, kind, ran))
}

fn error_kind(word: &str) -> Result<ErrorKind, String> {
    let found = ErrorKind::ALL.iter().find(|k| k.to_string() == word);
    found
        .copied()
        .ok_or_else(|| format!("{word:?} is not an error kind"))
}

fn ran_state(word: &str) -> Result<Ran, String> {
    let all = [Ran::No, Ran::Yes, Ran::Unknown];
    let found = all.into_iter().find(|r| r.to_string() == word);
    found.ok_or_else(|| format!("expected no, yes or unknown, found {word:?}"))
}
