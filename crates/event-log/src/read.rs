//! Reads segments: complete ones, damaged ones, and those that are still being written or are deleted
//! meanwhile.

use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use crate::event::Record;
use crate::frame::{ScannedItem, Scanner, SegmentId, SCHEMA};
use crate::segment::{self, SegmentName, FILE_SUFFIX, HEADER_BYTES};

/// Bytes that are read from a file at a time.
const READ_BYTES: usize = 128 * 1024;

/// A segment file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentFile {
    /// The parts of its name.
    pub name: SegmentName,
    /// Its path.
    pub path: PathBuf,
    /// Its size when it was found, in bytes.
    pub bytes: u64,
}

/// The segments at the paths, in order of scheduler, boot and number. A path is a segment file, or a folder
/// whose segment files are found; other files in a folder are ignored.
///
/// # Errors
/// Names the path that cannot be read, or the file that is not named as a segment.
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
    // A file that was deleted meanwhile is skipped.
    let size = std::fs::metadata(path).ok().filter(std::fs::Metadata::is_file)?.len();
    Some(SegmentFile { name, path: path.to_owned(), bytes: size })
}

/// A part of a segment.
#[derive(Clone, Debug, PartialEq)]
pub enum SegmentItem {
    /// A record as it was written.
    Record(Record),
    /// Bytes that hold no record: damaged, or a frame that was never completed.
    Damaged {
        /// The offset of the first byte.
        from: u64,
        /// The offset behind the last byte.
        to: u64,
    },
    /// A complete frame of a schema that this program does not read.
    Newer {
        /// The offset of the frame.
        offset: u64,
        /// The schema of the frame.
        schema: u8,
    },
    /// A complete frame whose payload holds no event.
    Unreadable {
        /// The offset of the frame.
        offset: u64,
    },
}

/// Reads one segment, a piece at a time.
#[derive(Debug)]
pub struct SegmentReader {
    file: File,
    scanner: Scanner,
    /// The bytes of the header that have been read.
    header: Vec<u8>,
    id_from_name: SegmentId,
    ready: VecDeque<SegmentItem>,
    ended: bool,
}

impl SegmentReader {
    /// Opens a segment, which can then be read to its end also if it is deleted meanwhile.
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

    /// The next part of what has been written so far; `None` at its end. A frame that is incomplete now may
    /// be completed later.
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
                // With a damaged header the id in the file name is used.
                self.scanner = Scanner::new(told.unwrap_or(self.id_from_name), HEADER_BYTES as u64);
            }
        }
        self.scanner.feed(bytes);
    }

    /// The next part of a segment that is not written to any more; `None` at its end.
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
