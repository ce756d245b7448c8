//! Where segments lie.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// A folder of files. The writer's only way to files, so that a test can fill it up, break it or hold it up.
pub trait Disk: Send + 'static {
    /// A file that is written to.
    type File: Write + Send;

    /// Makes a new file.
    ///
    /// # Errors
    /// The system's; also where there is one of that name.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Names and sizes of all files.
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

/// A folder of the system, made if it is not there.
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
            // One that is gone meanwhile is none.
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
