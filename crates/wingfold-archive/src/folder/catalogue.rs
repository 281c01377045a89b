//! The catalogue of a folder: an embedded database of the segments and the calls that each segment holds. The
//! catalogue only saves reading the segments: entries that it lacks are derived from the segments, and a
//! damaged catalogue is renamed and replaced. The lock of the database keeps a second director from writing
//! to the folder.

use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::panic::{catch_unwind, RefUnwindSafe, UnwindSafe};
use std::path::{Path, PathBuf};
use wingfold_capture::model::SegmentMeta;

/// The table of encoded [`SegmentMeta`] by the segment's number.
const SEGMENTS: TableDefinition<u64, &[u8]> = TableDefinition::new("segments");
const FILE_NAME: &str = "catalogue.redb";
/// Size of the database's cache, in bytes: the catalogue has only a few hundred short entries.
const CACHE_BYTES: usize = 256 << 10;

/// The catalogue of a folder that is being written.
#[derive(Debug)]
pub(super) struct Catalogue {
    database: Database,
}

/// Why a catalogue cannot be opened.
enum OpenError {
    /// The file is damaged or is not a database.
    Damaged,
    /// Another process has the catalogue open.
    Locked,
    /// The file cannot be accessed.
    Io(io::Error),
}

impl OpenError {
    fn into_io(self, folder: &Path) -> io::Error {
        match self {
            OpenError::Damaged => {
                let message = format!("{}: cannot create the capture catalogue", folder.display());
                io::Error::new(io::ErrorKind::InvalidData, message)
            }
            OpenError::Locked => io::Error::new(
                io::ErrorKind::ResourceBusy,
                format!("{} is written by another director", folder.display()),
            ),
            OpenError::Io(error) => error,
        }
    }
}

impl Catalogue {
    /// Opens the catalogue of a folder, or creates it. A damaged catalogue is renamed and replaced by an
    /// empty one.
    pub(super) fn open(folder: &Path) -> io::Result<Catalogue> {
        let path = folder.join(FILE_NAME);
        let create = || Database::builder().set_cache_size(CACHE_BYTES).create(&path);
        let opened = match open_checked(create) {
            Err(OpenError::Damaged) => {
                fs::rename(&path, unused_path(&path))?;
                open_checked(create)
            }
            opened => opened,
        };
        let database = opened.map_err(|error| error.into_io(folder))?;
        Ok(Catalogue { database })
    }

    /// All entries by the segment's number; empty if the entries cannot be read.
    pub(super) fn segments(&self) -> BTreeMap<u64, SegmentMeta> {
        read_segments(&self.database).unwrap_or_default()
    }

    /// Adds or replaces the entry of a segment.
    pub(super) fn insert(&self, meta: &SegmentMeta) -> io::Result<()> {
        let bytes = postcard::to_allocvec(meta).map_err(io::Error::other)?;
        self.write(|table| table.insert(meta.segment, bytes.as_slice()).map(drop))
    }

    /// Removes the entry of a segment.
    pub(super) fn remove(&self, segment: u64) -> io::Result<()> {
        self.write(|table| table.remove(segment).map(drop))
    }

    /// Replaces all entries in one transaction.
    pub(super) fn replace(&self, segments: &[SegmentMeta]) -> io::Result<()> {
        self.write(|table| {
            table.retain(|_, _| false)?;
            for meta in segments {
                let bytes = postcard::to_allocvec(meta).unwrap_or_default();
                table.insert(meta.segment, bytes.as_slice())?;
            }
            Ok(())
        })
    }

    /// Changes the table in one transaction.
    fn write(
        &self,
        change: impl Fn(&mut redb::Table<u64, &[u8]>) -> Result<(), redb::StorageError>,
    ) -> io::Result<()> {
        let transaction = self.database.begin_write().map_err(io::Error::other)?;
        {
            let mut table = transaction.open_table(SEGMENTS).map_err(io::Error::other)?;
            change(&mut table).map_err(io::Error::other)?;
        }
        transaction.commit().map_err(io::Error::other)
    }
}

/// The entries of a folder's catalogue by the segment's number; `None` if the catalogue does not exist, is
/// open in another process, or is damaged.
pub fn read_catalogue(folder: &Path) -> Option<BTreeMap<u64, SegmentMeta>> {
    let path = folder.join(FILE_NAME);
    if !path.exists() {
        return None;
    }
    let database = open_checked(|| Database::builder().set_cache_size(CACHE_BYTES).open(&path)).ok()?;
    read_segments(&database).ok()
}

/// An unused path for a damaged catalogue, in the same folder.
fn unused_path(path: &Path) -> PathBuf {
    let mut paths = (1..).map(|number| path.with_extension(format!("damaged-{number}")));
    paths.find(|path| !path.exists()).expect("some number is unused")
}

/// Opens a database and reads all rows. Damage may be noticed only when the rows are read, as an error or as
/// a panic of the database library.
fn open_checked(
    open: impl Fn() -> Result<Database, DatabaseError> + UnwindSafe + RefUnwindSafe,
) -> Result<Database, OpenError> {
    let opened = catch_unwind(|| {
        let database = open()?;
        read_rows(&database)?;
        Ok(database)
    });
    match opened {
        Ok(Ok(database)) => Ok(database),
        Ok(Err(redb::Error::DatabaseAlreadyOpen)) => Err(OpenError::Locked),
        Ok(Err(redb::Error::Io(error))) if !indicates_damage(error.kind()) => Err(OpenError::Io(error)),
        Ok(Err(_)) | Err(_) => Err(OpenError::Damaged),
    }
}

/// Whether an I/O error means that the file is truncated or is not a database.
fn indicates_damage(kind: io::ErrorKind) -> bool {
    matches!(kind, io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof)
}

/// All rows of the table: numbers of segments, and their encoded entries; empty if there is no table yet.
fn read_rows(database: &Database) -> Result<Vec<(u64, Vec<u8>)>, redb::Error> {
    let transaction = database.begin_read()?;
    let table = match transaction.open_table(SEGMENTS) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
        Err(error) => return Err(error.into()),
    };
    let mut rows = Vec::new();
    for row in table.iter()? {
        let (segment, bytes) = row?;
        rows.push((segment.value(), bytes.value().to_vec()));
    }
    Ok(rows)
}

/// All entries by the segment's number. Rows that cannot be decoded are left out.
fn read_segments(database: &Database) -> Result<BTreeMap<u64, SegmentMeta>, redb::Error> {
    let rows = read_rows(database)?.into_iter();
    Ok(rows.filter_map(|(segment, bytes)| Some((segment, postcard::from_bytes(&bytes).ok()?))).collect())
}
