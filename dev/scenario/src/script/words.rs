//! Reads the words of one line.

use std::time::Duration;

/// Remaining words of a line in reverse order; errors are messages without the line number.
pub(super) struct Words<'a> {
    rest: Vec<&'a str>,
}

impl<'a> Words<'a> {
    pub(super) fn new(line: &'a str) -> Self {
        let mut rest: Vec<_> = line.split_whitespace().collect();
        rest.reverse();
        Self { rest }
    }

    pub(super) fn next(&mut self, what: &str) -> Result<&'a str, String> {
        self.rest
            .pop()
            .ok_or_else(|| format!("expected {what}, found the end of the line"))
    }

    pub(super) fn name(&mut self, what: &str) -> Result<String, String> {
        self.next(what).map(str::to_owned)
    }

    /// Consumes the next word if it equals `word`.
    pub(super) fn accept(&mut self, word: &str) -> bool {
        let found = self.rest.last() == Some(&word);
        if found {
            self.rest.pop();
        }
        found
    }

    pub(super) fn expect(&mut self, word: &str) -> Result<(), String> {
        let found = self.next(&format!("{word:?}"))?;
        if found == word {
            return Ok(());
        }
        Err(format!("expected {word:?}, found {found:?}"))
    }

    /// Reads the value of an option such as `key K`; `None` if the next word is not `word`.
    pub(super) fn option(&mut self, word: &str) -> Result<Option<String>, String> {
        if self.accept(word) {
            return self.name(&format!("a value of {word:?}")).map(Some);
        }
        Ok(None)
    }

    pub(super) fn number(&mut self, what: &str) -> Result<u64, String> {
        let word = self.next(what)?;
        word.parse()
            .map_err(|_| format!("expected {what}, found {word:?}"))
    }

    pub(super) fn percent(&mut self) -> Result<f64, String> {
        let word = self.next("a share such as 5%")?;
        let number = word.strip_suffix('%').and_then(|n| n.parse::<f64>().ok());
        number
            .filter(|n| (0.0..=100.0).contains(n))
            .map(|n| n / 100.0)
            .ok_or_else(|| format!("expected a share from 0% to 100%, found {word:?}"))
    }

    pub(super) fn duration(&mut self) -> Result<Duration, String> {
        let word = self.next("a time such as 200ms or 3s")?;
        duration(word).ok_or_else(|| format!("expected a time such as 200ms or 3s, found {word:?}"))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    pub(super) fn end(&self) -> Result<(), String> {
        match self.rest.last() {
            None => Ok(()),
            Some(word) => Err(format!("expected the end of the line, found {word:?}")),
        }
    }
}

fn duration(word: &str) -> Option<Duration> {
    if let Some(millis) = word.strip_suffix("ms") {
        return millis.parse().ok().map(Duration::from_millis);
    }
    let seconds = word.strip_suffix('s')?;
    seconds.parse().ok().map(Duration::from_secs)
}
