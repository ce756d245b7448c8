//! Reads segments back: whole, damaged, still written to, or deleted meanwhile.

use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use crate::event::Record;
use crate::frame::{ScannedItem, Scanner, SegmentId, SCHEMA};
use crate::segment::{self, SegmentName, FILE_SUFFIX, HEADER_BYTES};

/// Bytes that are read at once.
const READ_BYTES: usize = 128 * 1024;

/// A segment that was found.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentFile {
    /// What its name says.
    pub name: SegmentName,
    /// Where it is.
    pub path: PathBuf,
    /// Its size when it was found, bytes.
    pub bytes: u64,
}

/// The segments at the paths, in order of scheduler, boot and number: of a folder those that lie in it, of a
/// file itself. Files whose names are none of a segment's are passed over in folders.
///
/// # Errors
/// The path that can't be read, or a file that is no segment.
pub fn find_segments(paths: &[PathBuf]) -> io::Result<Vec<SegmentFile>> {
    let mut found = Vec::new();
    for path in paths {
        let at = |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", path.display()));
        if path.is_dir() {
            for entry in std::fs::read_dir(path).map_err(at)? {
                let entry = entry.map_err(at)?;
                found.extend(segment(&entry.path()));
            }
        } else {
            let why = || {
                io::Error::new(io::ErrorKind::InvalidInput, format!("its name is none of a *{FILE_SUFFIX}"))
            };
            std::fs::metadata(path).map_err(at)?;
            found.push(segment(path).ok_or_else(|| at(why()))?);
        }
    }
    found.sort();
    found.dedup();
    Ok(found)
}

fn segment(path: &Path) -> Option<SegmentFile> {
    let name = path.file_name()?.to_str()?.parse().ok()?;
    // One that was deleted meanwhile is none.
    let size = std::fs::metadata(path).ok().filter(std::fs::Metadata::is_file)?.len();
    Some(SegmentFile { name, path: path.to_owned(), bytes: size })
}

/// What a segment holds, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum SegmentItem {
    /// An event as it was written.
    Record(Record),
    /// Bytes that hold none: damage, or a frame that was never finished.
    Damaged {
        /// From there.
        from: u64,
        /// To there.
        to: u64,
    },
    /// A whole frame of a schema that this program does not read.
    Newer {
        /// Where.
        offset: u64,
        /// Its schema.
        schema: u8,
    },
    /// A whole frame whose payload is no event.
    Unreadable {
        /// Where.
        offset: u64,
    },
}

/// Reads one segment in pieces.
#[derive(Debug)]
pub struct SegmentReader {
    file: File,
    scanner: Scanner,
    /// Known once the head is there.
    header: Vec<u8>,
    id_from_name: SegmentId,
    ready: VecDeque<SegmentItem>,
    ended: bool,
}

impl SegmentReader {
    /// Opens a segment. What is open is read to its end, also if it is deleted meanwhile.
    ///
    /// # Errors
    /// The system's.
    pub fn open(segment: &SegmentFile) -> io::Result<Self> {
        let named = segment.name.id();
        let scanner = Scanner::new(named, HEADER_BYTES as u64);
        let (head, ready) = (Vec::with_capacity(HEADER_BYTES), VecDeque::new());
        Ok(Self {
            file: File::open(&segment.path)?,
            scanner,
            header: head,
            id_from_name: named,
            ready,
            ended: false,
        })
    }

    /// The next item that is there by now; `None` at the end of what was written so far. A frame that is not
    /// finished may be yet.
    ///
    /// # Errors
    /// The system's.
    pub fn next_available(&mut self) -> io::Result<Option<SegmentItem>> {
        loop {
            if let Some(item) = self.ready.pop_front() {
                return Ok(Some(item));
            }
            if let Some(found) = self.scanner.next_item() {
                return Ok(Some(item(found)));
            }
            let mut piece = vec![0; READ_BYTES];
            let size = match self.file.read(&mut piece) {
                Ok(size) => size,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            if size == 0 {
                return Ok(None);
            }
            self.scan(&piece[..size]);
        }
    }

    fn scan(&mut self, mut bytes: &[u8]) {
        if self.header.len() < HEADER_BYTES {
            let (more, rest) = bytes.split_at(bytes.len().min(HEADER_BYTES - self.header.len()));
            self.header.extend_from_slice(more);
            bytes = rest;
            if let Some(head) = self.header.first_chunk::<HEADER_BYTES>() {
                let told = segment::decode_header(head);
                if told.is_none() {
                    self.ready.push_back(SegmentItem::Damaged { from: 0, to: HEADER_BYTES as u64 });
                }
                // Where the head is damaged the name tells, which has to be that of the segment then.
                self.scanner = Scanner::new(told.unwrap_or(self.id_from_name), HEADER_BYTES as u64);
            }
        }
        self.scanner.feed(bytes);
    }

    /// The next item; no more is written to the segment.
    ///
    /// # Errors
    /// The system's.
    pub fn next_item(&mut self) -> io::Result<Option<SegmentItem>> {
        if !self.ended {
            if let Some(item) = self.next_available()? {
                return Ok(Some(item));
            }
            self.ended = true;
            self.scanner.finish();
            if self.header.len() < HEADER_BYTES {
                let to = self.header.len() as u64;
                return Ok((to > 0).then_some(SegmentItem::Damaged { from: 0, to }));
            }
        }
        Ok(self.scanner.next_item().map(item))
    }
}

fn item(found: ScannedItem) -> SegmentItem {
    match found {
        ScannedItem::Damaged { from, to } => SegmentItem::Damaged { from, to },
        ScannedItem::Frame { offset, schema, .. } if schema > SCHEMA => SegmentItem::Newer { offset, schema },
        ScannedItem::Frame { offset, payload, .. } => match Record::decode(&payload) {
            Ok(record) => SegmentItem::Record(record),
            Err(_) => SegmentItem::Unreadable { offset },
        },
    }
}
