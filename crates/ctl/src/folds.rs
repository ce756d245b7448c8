//! Reads segments into folds, a boot on a thread at a time; no more is held than the folds and a piece of
//! each file that is being read.

use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use heathward_event_log::read::{find_segments, SegmentFile, SegmentReader};
use heathward_incident::Fold;

/// Boots that are read at a time at most.
const THREADS: usize = 4;

/// All boots whose segments lie at the paths.
///
/// # Errors
/// A path that can't be read, or none that holds a segment.
pub fn read(paths: &[PathBuf]) -> io::Result<Vec<Fold>> {
    let mut boots: Vec<Vec<SegmentFile>> = Vec::new();
    for segment in find_segments(paths)? {
        // A boot's segments follow one another.
        match boots.last_mut().filter(|boot| boot[0].name.boot == segment.name.boot) {
            Some(boot) => boot.push(segment),
            None => boots.push(vec![segment]),
        }
    }
    if boots.is_empty() {
        return Err(io::Error::new(io::ErrorKind::NotFound, "no segments of records there"));
    }
    let (next, folds) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let work = || -> io::Result<()> {
        loop {
            let place = next.fetch_add(1, Ordering::Relaxed);
            let Some(boot) = boots.get(place) else { return Ok(()) };
            let fold = fold(boot)?;
            folds.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(fold);
        }
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS.min(boots.len())).map(|_| scope.spawn(work)).collect();
        let ends = threads.into_iter().map(|thread| thread.join());
        ends.into_iter().try_for_each(|end| end.unwrap_or_else(|_| Err(io::Error::other("a reader failed"))))
    })?;
    Ok(folds.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner))
}

fn fold(boot: &[SegmentFile]) -> io::Result<Fold> {
    let mut fold = Fold::new(&boot[0].name.scheduler, boot[0].name.boot);
    for segment in boot {
        match SegmentReader::open(segment) {
            Ok(mut reader) => {
                while let Some(item) = reader.next_item()? {
                    fold.take(&item);
                }
            }
            // Its loss shows by the numbers of what is left.
            Err(error) if error.kind() == io::ErrorKind::NotFound => fold.miss(),
            Err(error) => return Err(error),
        }
    }
    fold.finish();
    Ok(fold)
}
