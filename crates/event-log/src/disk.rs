//! Access to the files of segments.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// A folder of files. The writer reaches files only through it, so that a test can make them fail or block.
pub trait Disk: Send + 'static {
    /// A file that is open for writing.
    type File: Write + Send;

    /// Creates a new file.
    ///
    /// # Errors
    /// The system's; also where a file of that name exists.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// The names of all files and their sizes in bytes.
    ///
    /// # Errors
    /// The system's.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;

    /// Removes a file.
    ///
    /// # Errors
    /// The system's.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder of the file system, created when it does not exist.
#[derive(Clone, Debug)]
pub struct Folder(pub PathBuf);

impl Disk for Folder {
    type File = File;

    fn create(&mut self, name: &str) -> io::Result<File> {
        fs::create_dir_all(&self.0)?;
        OpenOptions::new().write(true).create_new(true).open(self.0.join(name))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.0)? {
            let entry = entry?;
            // A file that was removed meanwhile is skipped.
            let Ok(about) = entry.metadata() else { continue };
            if let (true, Ok(name)) = (about.is_file(), entry.file_name().into_string()) {
                files.push((name, about.len()));
            }
        }
        Ok(files)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }
}
