//! The version file of a store's folder. It contains the version of the stored form as a decimal number, followed by a line
//! feed.
use crate::tables::FORMAT_VERSION;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write as _};
use std::path::Path;

const FILE_NAME: &str = "VERSION";
/// The new content is written to this file, which is then renamed, so that a power loss leaves either the old file or the new
/// one.
const TEMPORARY_FILE_NAME: &str = "VERSION.new";

/// What the version file of a folder states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FolderVersion {
    /// There is no version file.
    Missing,
    /// Its content is not a number followed by a line feed.
    Malformed,
    /// It states this version.
    Number(u32),
}

impl FolderVersion {
    fn parse(content: Vec<u8>) -> FolderVersion {
        let text = String::from_utf8(content).unwrap_or_default();
        // Without the line feed, the digits may be only the beginning of the number.
        let number = text
            .strip_suffix('\n')
            .and_then(|digits| digits.parse().ok());
        number.map_or(FolderVersion::Malformed, FolderVersion::Number)
    }
}

/// Reads the version of a folder.
pub(crate) fn read(dir: &Path) -> io::Result<FolderVersion> {
    match fs::read(dir.join(FILE_NAME)) {
        Ok(content) => Ok(FolderVersion::parse(content)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(FolderVersion::Missing),
        Err(error) => Err(error),
    }
}

/// Durably writes this release's version, unless the file states it already.
pub(crate) fn write(dir: &Path) -> io::Result<()> {
    if read(dir)? == FolderVersion::Number(FORMAT_VERSION) {
        return Ok(());
    }
    let temporary = dir.join(TEMPORARY_FILE_NAME);
    let mut file = File::create(&temporary)?;
    writeln!(file, "{FORMAT_VERSION}")?;
    file.sync_all()?;
    fs::rename(&temporary, dir.join(FILE_NAME))?;
    // Without a sync of the folder the renaming may not survive a power loss.
    File::open(dir)?.sync_all()
}
