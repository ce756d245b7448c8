//! Follows records that are still being written: each look reads what is new.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;

use heathward_event_log::read::{find_segments, SegmentFile, SegmentReader};
use heathward_incident::Fold;

/// One boot that is being read.
struct Reading {
    fold: Fold,
    /// The segment at hand, and its number.
    open: Option<(u32, SegmentReader)>,
    /// The next segment's number.
    next: u32,
}

/// Follows all boots whose segments lie at the paths.
pub struct Follower {
    paths: Vec<PathBuf>,
    boots: BTreeMap<u64, Reading>,
}

impl Follower {
    /// Of folders, or segments.
    pub fn new(paths: Vec<PathBuf>) -> Self {
        Self { paths, boots: BTreeMap::new() }
    }

    /// Reads what has been written since the last look.
    ///
    /// # Errors
    /// A path that can't be read.
    pub fn look(&mut self) -> io::Result<()> {
        let mut by_boot: BTreeMap<u64, Vec<SegmentFile>> = BTreeMap::new();
        for segment in find_segments(&self.paths)? {
            by_boot.entry(segment.name.boot).or_default().push(segment);
        }
        for (boot, files) in by_boot {
            let fold = || Fold::new(&files[0].name.scheduler, boot);
            let reading =
                self.boots.entry(boot).or_insert_with(|| Reading { fold: fold(), open: None, next: 0 });
            reading.look(&files)?;
        }
        Ok(())
    }

    /// What is known by now.
    pub fn folds(&self) -> impl Iterator<Item = &Fold> {
        self.boots.values().map(|reading| &reading.fold)
    }
}

impl Reading {
    fn look(&mut self, files: &[SegmentFile]) -> io::Result<()> {
        loop {
            if let Some((number, reader)) = &mut self.open {
                while let Some(item) = reader.next_available()? {
                    self.fold.take(&item);
                }
                // With a newer one there, this one is complete.
                if files.iter().all(|file| file.name.number <= *number) {
                    return Ok(());
                }
                while let Some(item) = reader.next_item()? {
                    self.fold.take(&item);
                }
                self.open = None;
            }
            let next = files.iter().filter(|file| file.name.number >= self.next);
            let Some(next) = next.min_by_key(|file| file.name.number) else { return Ok(()) };
            self.next = next.name.number + 1;
            match SegmentReader::open(next) {
                Ok(reader) => self.open = Some((next.name.number, reader)),
                Err(error) if error.kind() == io::ErrorKind::NotFound => self.fold.miss(),
                Err(error) => return Err(error),
            }
        }
    }
}
