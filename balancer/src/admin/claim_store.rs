//! The store of claimed requests: a small file to which the processes of a balancer append while they
//! serve side by side.
//!
//! Each record has one byte for its kind, and two numbers of eight bytes. A record that is not
//! complete, because a process was killed while it wrote, is overwritten by the next one.
use crate::control::request_claims::RequestIdHash;
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Holds the claims. Its name must not change: processes of other versions share the file.
const CLAIMS_FILE: &str = "balancer-request-claims";
/// Largest size of the file, in bytes. Requests beyond that are not claimed.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Size of a record: its kind and two numbers.
const RECORD_BYTES: usize = 1 + 2 * size_of::<u64>();
/// A record of this kind holds the hash of a request's id and the process that has claimed it.
const CLAIM: u8 = 1;
/// A record of this kind states that the predecessor of the process with this number has claimed what
/// it has in flight.
const PUBLISHED: u8 = 2;

/// The result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// No other process has claimed the request.
    Granted,
    /// Another process has claimed it.
    TakenByOther,
}

/// Stores claims. Its methods block on the disk.
#[derive(Clone)]
pub struct ClaimStore {
    /// The directory of the file. If `None`, there are no other processes.
    directory: Option<PathBuf>,
    /// Identifies this process among those that run.
    process_id: u64,
    known: Arc<Mutex<KnownClaims>>,
}

/// What has been read of the file.
#[derive(Default)]
struct KnownClaims {
    read_bytes: u64,
    /// The process that has claimed a request.
    owners: HashMap<RequestIdHash, u64>,
    /// The highest number of a process whose predecessor has published its claims.
    published_for: u64,
}

impl ClaimStore {
    /// A store in a directory that all processes of this balancer share.
    pub fn new(directory: Option<PathBuf>) -> ClaimStore {
        ClaimStore::of_process(directory, u64::from(std::process::id()))
    }

    fn of_process(directory: Option<PathBuf>, process_id: u64) -> ClaimStore {
        ClaimStore {
            directory,
            process_id,
            known: Arc::default(),
        }
    }

    /// Claims a request for this process.
    pub fn claim(&self, id: RequestIdHash) -> io::Result<Claim> {
        let Some(mut claims) = self.open()? else {
            return Ok(Claim::Granted);
        };
        match claims.known.owners.get(&id) {
            Some(&owner) if owner != self.process_id => return Ok(Claim::TakenByOther),
            Some(_) => {}
            None => claims.append(&[Record::claim(id, self.process_id)])?,
        }
        Ok(Claim::Granted)
    }

    /// Claims all that this process has in flight, on behalf of its successor with this number.
    pub fn publish(&self, ids: &[RequestIdHash], successor: u64) -> io::Result<()> {
        let Some(mut claims) = self.open()? else {
            return Ok(());
        };
        let mut records: Vec<_> = ids
            .iter()
            .map(|&id| Record::claim(id, self.process_id))
            .collect();
        records.push(Record {
            kind: PUBLISHED,
            numbers: [successor, self.process_id],
        });
        claims.append(&records)
    }

    /// Whether the predecessor of the process with this number has published its claims.
    pub fn is_published_for(&self, process_number: u64) -> io::Result<bool> {
        let claims = self.open()?;
        Ok(claims.is_none_or(|claims| claims.known.published_for >= process_number))
    }

    /// Removes all claims, once no other process runs. Returns those of other processes.
    pub fn take_all(&self) -> io::Result<Vec<RequestIdHash>> {
        let Some(mut claims) = self.open()? else {
            return Ok(Vec::new());
        };
        let process_id = self.process_id;
        let taken = claims
            .known
            .owners
            .iter()
            .filter(|(_, &owner)| owner != process_id)
            .map(|(&id, _)| id)
            .collect();
        claims.file.set_len(0)?;
        *claims.known = KnownClaims::default();
        Ok(taken)
    }

    /// Opens and locks the file, and reads what is new. `None` without a directory.
    fn open(&self) -> io::Result<Option<OpenClaims<'_>>> {
        let Some(directory) = &self.directory else {
            return Ok(None);
        };
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(directory.join(CLAIMS_FILE))?;
        file.lock()?;
        // What is known is valid even if another thread panicked while it held the lock.
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let mut claims = OpenClaims { file, known };
        claims.read_new()?;
        Ok(Some(claims))
    }
}

/// The locked file. The lock ends when the file is closed.
struct OpenClaims<'a> {
    file: File,
    known: MutexGuard<'a, KnownClaims>,
}

impl OpenClaims<'_> {
    /// Reads the complete records after those that have been read.
    fn read_new(&mut self) -> io::Result<()> {
        if self.file.metadata()?.len() < self.known.read_bytes {
            *self.known = KnownClaims::default();
        }
        self.file.seek(SeekFrom::Start(self.known.read_bytes))?;
        let mut bytes = Vec::new();
        let limit = MAX_FILE_BYTES.saturating_sub(self.known.read_bytes);
        (&self.file).take(limit).read_to_end(&mut bytes)?;
        for record in bytes.chunks_exact(RECORD_BYTES) {
            self.known.record(Record::decode(record));
            self.known.read_bytes += RECORD_BYTES as u64;
        }
        Ok(())
    }

    /// Appends records after the last complete one, while the file is not too large.
    fn append(&mut self, records: &[Record]) -> io::Result<()> {
        let bytes: Vec<u8> = records.iter().flat_map(|record| record.encode()).collect();
        if self.known.read_bytes + bytes.len() as u64 > MAX_FILE_BYTES {
            return Ok(());
        }
        self.file.seek(SeekFrom::Start(self.known.read_bytes))?;
        self.file.write_all(&bytes)?;
        self.read_new()
    }
}

impl KnownClaims {
    fn record(&mut self, record: Record) {
        let [first, second] = record.numbers;
        match record.kind {
            CLAIM => {
                self.owners.entry(RequestIdHash(first)).or_insert(second);
            }
            PUBLISHED => self.published_for = self.published_for.max(first),
            // Written by another version.
            _ => {}
        }
    }
}

struct Record {
    kind: u8,
    numbers: [u64; 2],
}

impl Record {
    fn claim(id: RequestIdHash, process_id: u64) -> Record {
        Record {
            kind: CLAIM,
            numbers: [id.0, process_id],
        }
    }

    fn encode(&self) -> [u8; RECORD_BYTES] {
        let mut bytes = [self.kind; RECORD_BYTES];
        for (target, number) in bytes[1..]
            .chunks_exact_mut(size_of::<u64>())
            .zip(self.numbers)
        {
            target.copy_from_slice(&number.to_be_bytes());
        }
        bytes
    }

    /// Decodes a record of [`RECORD_BYTES`].
    fn decode(bytes: &[u8]) -> Record {
        let number = |bytes: &[u8]| {
            bytes
                .iter()
                .fold(0, |number, &byte| (number << 8) | u64::from(byte))
        };
        let (first, second) = bytes[1..].split_at(size_of::<u64>());
        Record {
            kind: bytes[0],
            numbers: [number(first), number(second)],
        }
    }
}

#[cfg(test)]
mod tests;
