//! Record of what was sent, answered and run, with milliseconds since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    since: Instant,
}

impl Record {
    pub fn open(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            since: Instant::now(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let mut file = self.file.lock().expect("not poisoned");
        let _ = writeln!(file, "{at:>7} {text}");
    }
}
