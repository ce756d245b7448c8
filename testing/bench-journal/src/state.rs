//! The present state of the program: its module and its network code, as the deploy file names them.

use std::path::Path;
use std::{fs, io};

use sha2::{Digest, Sha256};

use crate::entry::{version, Entry, File};

/// The files that a run of the bench plays.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The decision module's.
    pub module: Vec<File>,
    /// The network code's.
    pub network: Vec<File>,
}

impl State {
    /// Reads what `policy` and `node` of a deploy file name, files or folders, below `root`.
    ///
    /// # Errors
    /// A name in the lists without a file.
    pub fn read(root: &Path, policy: &[String], node: &[String]) -> io::Result<Self> {
        let all = |names: &[String]| -> io::Result<Vec<File>> {
            let mut files = Vec::new();
            for name in names {
                walk(root, name, &mut files)?;
            }
            Ok(files)
        };
        Ok(Self { module: all(policy)?, network: all(node)? })
    }

    /// Its short name, as that of an entry's files.
    pub fn version(&self) -> String {
        version(self.module.iter().chain(&self.network))
    }

    /// An entry was played with just this module.
    pub fn same_module(&self, entry: &Entry) -> bool {
        version(self.module.iter()) == version(entry.module.iter())
    }

    /// An entry was played with just this module and network code.
    pub fn same(&self, entry: &Entry) -> bool {
        self.version() == entry.version()
    }
}

fn walk(root: &Path, name: &str, files: &mut Vec<File>) -> io::Result<()> {
    let path = root.join(name);
    let wrong = |e: io::Error| io::Error::new(e.kind(), format!("{name}: {e}"));
    if path.is_dir() {
        let mut names = Vec::new();
        for entry in fs::read_dir(&path).map_err(wrong)? {
            names.push(format!("{}/{}", name.trim_end_matches('/'), entry?.file_name().to_string_lossy()));
        }
        names.sort();
        return names.iter().try_for_each(|name| walk(root, name, files));
    }
    let text = fs::read(&path).map_err(wrong)?;
    let sha256 = Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect();
    files.push(File { path: name.to_owned(), sha256 });
    Ok(())
}
