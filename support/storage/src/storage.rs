//! Opening, recovery and writing of a data folder.

use std::collections::VecDeque;

use pimentotide_consensus::{
    DiskId, Entry, HardState, Identity, Index, Recovered, Snapshot, Ticket, Write,
};
use pimentotide_model::InstanceName;
use rand::{Rng, RngExt};

use crate::segment::{self, Body, Content, Scan};
use crate::state::TEMPORARY;
use crate::{Disk, StorageError, StorageErrorKind, snapshot, state};

/// Size from which a new segment is started.
const SEGMENT_BYTES: u64 = 4 << 20;

/// Storage of one replica in a data folder.
#[derive(Debug)]
pub struct Storage<D> {
    disk: D,
    segments: VecDeque<Segment>,
    /// Number of the last segment.
    number: u64,
    /// Bytes written to the last segment.
    written: u64,
    /// Bytes synced of the last segment.
    synced: u64,
    /// Index of the next entry.
    next: Index,
    snapshot: Option<Index>,
    segment_bytes: u64,
    poisoned: bool,
}

/// A segment of the log.
#[derive(Clone, Copy, Debug)]
struct Segment {
    number: u64,
    /// Highest index of any record in it.
    highest: Index,
}

/// Opened storage with its recovered state.
#[derive(Debug)]
pub struct Opened<D> {
    /// The storage, ready for writes.
    pub storage: Storage<D>,
    /// State recovered from the folder.
    pub recovered: Recovered,
    /// Whether the folder had no state file and got a new identity.
    pub fresh: bool,
    /// Bytes of the torn tail that were removed.
    pub truncated_bytes: u64,
}

impl<D> Storage<D>
where
    D: Disk,
{
    /// Opens the folder of the replica `name`; a new folder gets a random identity.
    ///
    /// Fails if synced data is damaged or missing, or if the folder belongs to another replica.
    pub fn open<R>(disk: D, name: &InstanceName, rng: &mut R) -> Result<Opened<D>, StorageError>
    where
        R: Rng,
    {
        Self::open_with_limit(disk, name, rng, SEGMENT_BYTES)
    }

    /// Opens the folder with segments of `segment_bytes` bytes; see [`Storage::open`].
    pub fn open_with_limit<R>(
        mut disk: D,
        name: &InstanceName,
        rng: &mut R,
        segment_bytes: u64,
    ) -> Result<Opened<D>, StorageError>
    where
        R: Rng,
    {
        let names = remove_temporary(&mut disk)?;
        let (hard, fresh) = load_state(&mut disk, &names, name, rng)?;
        let snapshot = newest_snapshot(&mut disk, &names)?;
        let snapshot_index = snapshot.as_ref().map(|s| s.meta.last.index);
        let mut storage = Self {
            disk,
            segments: VecDeque::new(),
            number: 0,
            written: 0,
            synced: 0,
            next: snapshot_index.unwrap_or_default().next(),
            snapshot: snapshot_index,
            segment_bytes,
            poisoned: false,
        };
        let (entries, truncated_bytes) = storage.recover(&names, snapshot.as_ref())?;
        storage.sync_recovered()?;
        Ok(Opened {
            storage,
            recovered: Recovered {
                hard,
                snapshot,
                entries,
            },
            fresh,
            truncated_bytes,
        })
    }

    /// Performs the writes in order and syncs once; returns the last ticket.
    ///
    /// After a failure all further writes fail with [`StorageErrorKind::Poisoned`].
    pub fn write<'a, I>(&mut self, writes: I) -> Result<Ticket, StorageError>
    where
        I: IntoIterator<Item = &'a Write>,
    {
        if self.poisoned {
            return Err(StorageError::new(
                StorageErrorKind::Poisoned,
                "restart the replica once the disk accepts writes",
            ));
        }
        let result = self.write_all(writes);
        self.poisoned = result.is_err();
        result
    }

    /// Closes the storage and returns its disk.
    pub fn into_disk(self) -> D {
        self.disk
    }

    fn write_all<'a, I>(&mut self, writes: I) -> Result<Ticket, StorageError>
    where
        I: IntoIterator<Item = &'a Write>,
    {
        let mut last = Ticket(0);
        for write in writes {
            if let Some(hard) = &write.hard {
                state::write(&mut self.disk, hard)?;
            }
            if let Some(snapshot) = &write.snapshot {
                self.save_snapshot(snapshot, write.reset)?;
            }
            self.append(&write.entries)?;
            last = write.ticket;
        }
        self.sync()?;
        Ok(last)
    }

    fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let Some(first) = entries.first() else {
            return Ok(());
        };
        if first.id.index > self.next {
            return Err(StorageError::corrupt(format!(
                "entry {} does not follow entry {}",
                first.id.index,
                self.next.prev()
            )));
        }
        if self.segments.is_empty() || self.written >= self.segment_bytes {
            self.roll(first.id.index)?;
        }
        let mut bytes = Vec::new();
        for entry in entries {
            bytes.extend(segment::encode(&Body {
                synced: self.synced,
                content: Content::Entry(entry.clone()),
            })?);
            self.next = entry.id.index.next();
        }
        self.append_bytes(&bytes)?;
        if let Some(segment) = self.segments.back_mut() {
            segment.highest = segment.highest.max(self.next.prev());
        }
        Ok(())
    }

    /// Syncs the last segment and starts a new one.
    fn roll(&mut self, first: Index) -> Result<(), StorageError> {
        self.sync()?;
        self.number += 1;
        let name = segment::name(self.number);
        self.disk
            .create(&name)
            .map_err(|e| StorageError::io(&format!("cannot create {name}"), &e))?;
        self.segments.push_back(Segment {
            number: self.number,
            highest: first.prev(),
        });
        self.written = 0;
        self.synced = 0;
        let start = segment::encode(&Body {
            synced: 0,
            content: Content::Start(first),
        })?;
        self.append_bytes(&start)?;
        self.sync_folder()
    }

    fn append_bytes(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        let name = segment::name(self.number);
        self.disk
            .append(&name, bytes)
            .map_err(|e| StorageError::io(&format!("cannot write to {name}"), &e))?;
        self.written += bytes.len() as u64;
        Ok(())
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        if self.synced < self.written {
            let name = segment::name(self.number);
            self.disk
                .sync(&name)
                .map_err(|e| StorageError::io(&format!("cannot sync {name}"), &e))?;
            self.synced = self.written;
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), StorageError> {
        self.disk
            .sync_folder()
            .map_err(|e| StorageError::io("cannot sync the data folder", &e))
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), StorageError> {
        let index = snapshot.meta.last.index;
        snapshot::write(&mut self.disk, snapshot)?;
        if let Some(old) = self.snapshot.replace(index).filter(|old| *old != index) {
            snapshot::remove(&mut self.disk, old)?;
        }
        if reset {
            self.drop_log()?;
        } else {
            self.drop_covered(index)?;
        }
        self.next = self.next.max(index.next());
        Ok(())
    }

    /// Removes all segments, newest first, so that a crash leaves no gap.
    fn drop_log(&mut self) -> Result<(), StorageError> {
        while let Some(segment) = self.segments.pop_back() {
            self.remove_segment(segment.number)?;
            self.sync_folder()?;
        }
        self.written = 0;
        self.synced = 0;
        self.next = Index(0);
        Ok(())
    }

    /// Removes the segments covered by a snapshot at `index`, oldest first.
    fn drop_covered(&mut self, index: Index) -> Result<(), StorageError> {
        while self.segments.len() > 1 && self.segments[0].highest <= index {
            let number = self.segments[0].number;
            self.segments.pop_front();
            self.remove_segment(number)?;
        }
        Ok(())
    }

    fn remove_segment(&mut self, number: u64) -> Result<(), StorageError> {
        let name = segment::name(number);
        self.disk
            .remove(&name)
            .map_err(|e| StorageError::io(&format!("cannot remove {name}"), &e))
    }

    /// Reads the segments and truncates a torn tail.
    ///
    /// Returns the entries after the snapshot and the number of bytes removed.
    fn recover(
        &mut self,
        names: &[String],
        snapshot: Option<&Snapshot>,
    ) -> Result<(Vec<Entry>, u64), StorageError> {
        let numbers: Vec<u64> = names.iter().filter_map(|n| segment::number(n)).collect();
        let covered = snapshot.map(|s| s.meta.last.index).unwrap_or_default();
        let mut log: Vec<Entry> = Vec::new();
        let mut removed = 0;
        for (position, number) in numbers.iter().enumerate() {
            let newest = position + 1 == numbers.len();
            let name = segment::name(*number);
            let bytes = self
                .disk
                .read(&name)
                .map_err(|e| StorageError::io(&format!("cannot read {name}"), &e))?;
            let scan = segment::scan(&name, &bytes)?;
            self.number = *number;
            if scan.is_torn() || scan.start.is_none() {
                removed += self.truncate_tail(&name, &scan, newest)?;
            }
            let Some(start) = scan.start else {
                continue;
            };
            self.written = scan.valid;
            self.synced = scan.valid;
            join(&name, &mut log, start, &scan.entries, covered)?;
            let highest = scan.entries.iter().map(|e| e.id.index).max();
            self.segments.push_back(Segment {
                number: *number,
                highest: highest.unwrap_or(start.prev()),
            });
        }
        let entries = self.connect(log, snapshot)?;
        Ok((entries, removed))
    }

    /// Syncs what was recovered: a process that ended, or a disk that failed, before a sync leaves
    /// records and names that are read back but do not survive a loss of power.
    fn sync_recovered(&mut self) -> Result<(), StorageError> {
        if let Some(segment) = self.segments.back() {
            let name = segment::name(segment.number);
            self.disk
                .sync(&name)
                .map_err(|e| StorageError::io(&format!("cannot sync {name}"), &e))?;
        }
        self.sync_folder()
    }

    /// Removes the bytes after the complete records of the newest segment.
    fn truncate_tail(
        &mut self,
        name: &str,
        scan: &Scan,
        newest: bool,
    ) -> Result<u64, StorageError> {
        if !newest {
            return Err(StorageError::corrupt(format!(
                "{name}: the record at byte {} is damaged, and later segments follow",
                scan.valid
            )));
        }
        log::warn!(
            "{name}: removing a torn tail of {} bytes",
            scan.size - scan.valid
        );
        let result = match scan.start {
            Some(_) => self
                .disk
                .truncate(name, scan.valid)
                .and_then(|()| self.disk.sync(name)),
            // Without a complete first record nothing of the segment was synced.
            None => self
                .disk
                .remove(name)
                .and_then(|()| self.disk.sync_folder()),
        };
        result.map_err(|e| StorageError::io(&format!("cannot truncate {name}"), &e))?;
        Ok(scan.size - scan.valid)
    }

    /// Returns the entries after the snapshot; removes a log that does not connect to it.
    fn connect(
        &mut self,
        log: Vec<Entry>,
        snapshot: Option<&Snapshot>,
    ) -> Result<Vec<Entry>, StorageError> {
        let last = snapshot.map(|s| s.meta.last).unwrap_or_default();
        let first = log.first().map(|e| e.id.index);
        if first.is_some_and(|first| first > last.index.next()) {
            return Err(StorageError::corrupt(format!(
                "entries between the snapshot at {} and the log are missing",
                last.index
            )));
        }
        let snapshot_entry = log.iter().find(|e| e.id.index == last.index);
        let connects = match snapshot_entry {
            Some(entry) => entry.id == last,
            None => first.is_none_or(|first| first == last.index.next()),
        };
        if !connects {
            self.drop_log()?;
            self.next = last.index.next();
            return Ok(Vec::new());
        }
        let entries: Vec<Entry> = log
            .into_iter()
            .filter(|e| e.id.index > last.index)
            .collect();
        let newest = entries.last().map_or(last.index, |e| e.id.index);
        self.next = newest.next();
        Ok(entries)
    }
}

/// Appends the entries of the next segment to the log.
fn join(
    name: &str,
    log: &mut Vec<Entry>,
    start: Index,
    entries: &[Entry],
    covered: Index,
) -> Result<(), StorageError> {
    let next = log.last().map(|e| e.id.index.next());
    if next.is_some_and(|next| start > next) {
        if start > covered.next() {
            return Err(StorageError::corrupt(format!(
                "{name}: entries before {start} are missing"
            )));
        }
        // The snapshot covers the missing segments.
        log.clear();
    }
    for entry in entries {
        let index = entry.id.index;
        log.truncate(log.partition_point(|e| e.id.index < index));
        if log.last().is_some_and(|e| e.id.index.next() != index) {
            return Err(StorageError::corrupt(format!(
                "{name}: entries before {index} are missing"
            )));
        }
        log.push(entry.clone());
    }
    Ok(())
}

/// Removes incomplete files and returns the names of the others.
fn remove_temporary<D>(disk: &mut D) -> Result<Vec<String>, StorageError>
where
    D: Disk,
{
    let names = disk
        .list()
        .map_err(|e| StorageError::io("cannot list the data folder", &e))?;
    let (temporary, names) = names
        .into_iter()
        .partition::<Vec<_>, _>(|n| n.ends_with(TEMPORARY));
    for name in temporary {
        disk.remove(&name)
            .map_err(|e| StorageError::io(&format!("cannot remove {name}"), &e))?;
    }
    Ok(names)
}

/// Reads the state file, or creates it with a random identity in an unused folder.
fn load_state<D, R>(
    disk: &mut D,
    names: &[String],
    name: &InstanceName,
    rng: &mut R,
) -> Result<(HardState, bool), StorageError>
where
    D: Disk,
    R: Rng,
{
    if names.iter().any(|n| n == state::NAME) {
        let hard = state::read(disk)?;
        if hard.identity.name != *name {
            return Err(StorageError::new(
                StorageErrorKind::Foreign,
                format!("found {}, expected {name}", hard.identity.name),
            ));
        }
        return Ok((hard, false));
    }
    let used = |n: &&String| segment::number(n).is_some() || snapshot::index(n).is_some();
    if let Some(found) = names.iter().find(used) {
        return Err(StorageError::corrupt(format!(
            "the state file is missing, but {found} exists"
        )));
    }
    let hard = HardState::fresh(Identity {
        name: name.clone(),
        disk: DiskId(rng.random()),
    });
    state::write(disk, &hard)?;
    Ok((hard, true))
}

/// Reads the newest snapshot and removes older ones.
fn newest_snapshot<D>(disk: &mut D, names: &[String]) -> Result<Option<Snapshot>, StorageError>
where
    D: Disk,
{
    let mut found: Vec<Index> = names.iter().filter_map(|n| snapshot::index(n)).collect();
    found.sort_unstable();
    let Some(newest) = found.pop() else {
        return Ok(None);
    };
    let snapshot = snapshot::read(disk, newest)?;
    for old in found {
        snapshot::remove(disk, old)?;
    }
    Ok(Some(snapshot))
}
