//! A folder of segments with its catalogue, an embedded store: which segments there are, and which time each holds.
//! The catalogue is a help and never the truth: what it lacks is read from the segments, and one that is damaged is set
//! aside. Its lock keeps a second director out.

use crate::disk::Disk;
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use wingfold_capture::model::SegmentMeta;
use wingfold_capture::scribe::Do;
use wingfold_capture::{entries, Entry};

const SEGMENTS: TableDefinition<u64, &[u8]> = TableDefinition::new("segments");
const CATALOGUE: &str = "catalogue.redb";
/// The store's own memory: the catalogue has a few hundred short entries.
const CACHE: usize = 256 << 10;
/// A file larger than this is no segment of ours.
pub const MOST_BYTES: u64 = 1 << 30;

/// A segment's file.
pub fn file_name(segment: u64) -> String {
    format!("{segment:08}.wfcap")
}

/// A name as a folder's: anything unusual becomes its number, so that two names never share a folder.
pub fn folder_name(name: &str) -> String {
    let mut folder = String::new();
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' => folder.push(char::from(byte)),
            _ => folder.push_str(&format!("_{byte:02x}")),
        }
    }
    if folder.is_empty() {
        "_".into()
    } else {
        folder
    }
}

/// One director's folder of segments, for writing.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    catalogue: Option<Database>,
    current: Option<(u64, File)>,
}

impl Folder {
    /// The folder of a director of this name below `root`.
    pub fn new(root: &Path, name: &str) -> Self {
        Folder { path: root.join(folder_name(name)), catalogue: None, current: None }
    }

    /// Opens the catalogue; one that cannot be read is set aside and made anew.
    fn catalogue(&mut self) -> io::Result<&Database> {
        if self.catalogue.is_none() {
            // Names of hosts and halls are the operators' affair only.
            fs::DirBuilder::new().recursive(true).mode(0o700).create(&self.path)?;
            let path = self.path.join(CATALOGUE);
            let open = || Database::builder().set_cache_size(CACHE).create(&path);
            let opened = match guarded(open) {
                Err(Trouble::Damaged) => {
                    let aside = (1..).map(|n| path.with_extension(format!("damaged-{n}")));
                    let aside = aside.into_iter().find(|aside| !aside.exists()).expect("numbers do not end");
                    fs::rename(&path, aside)?;
                    guarded(open)
                }
                opened => opened,
            };
            let database = opened.map_err(|trouble| match trouble {
                Trouble::Damaged => {
                    io::Error::new(io::ErrorKind::InvalidData, "the catalogue cannot be made")
                }
                Trouble::Taken => io::Error::new(
                    io::ErrorKind::ResourceBusy,
                    format!("{} is written by another director", self.path.display()),
                ),
                Trouble::Io(error) => error,
            })?;
            self.catalogue = Some(database);
        }
        Ok(self.catalogue.as_ref().expect("it was just opened"))
    }

    fn write(
        &mut self,
        change: impl Fn(&mut redb::Table<u64, &[u8]>) -> Result<(), redb::StorageError>,
    ) -> io::Result<()> {
        let written = self.catalogue().and_then(|database| {
            let write = database.begin_write().map_err(io::Error::other)?;
            {
                let mut table = write.open_table(SEGMENTS).map_err(io::Error::other)?;
                change(&mut table).map_err(io::Error::other)?;
            }
            write.commit().map_err(io::Error::other)
        });
        if written.is_err() {
            // After a failure the store may be of no more use: it is opened anew the next time.
            self.catalogue = None;
        }
        written
    }

    fn note(&mut self, meta: &SegmentMeta) -> io::Result<()> {
        let bytes = postcard::to_allocvec(meta).map_err(io::Error::other)?;
        self.write(|table| table.insert(meta.segment, bytes.as_slice()).map(drop))
    }
}

enum Trouble {
    Damaged,
    Taken,
    Io(io::Error),
}

/// Opens a store; a damaged one may be told by an error or, from within the store, by a panic.
fn guarded(
    open: impl Fn() -> Result<Database, DatabaseError> + std::panic::UnwindSafe + std::panic::RefUnwindSafe,
) -> Result<Database, Trouble> {
    // A file that ends too early, or holds something else.
    let short = |kind| matches!(kind, io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof);
    let opened = std::panic::catch_unwind(|| {
        let database = open()?;
        // A damaged page may show only when it is read.
        let read = database.begin_read()?;
        match read.open_table(SEGMENTS) {
            Ok(table) => {
                for row in table.iter()? {
                    row?;
                }
            }
            Err(redb::TableError::TableDoesNotExist(_)) => {}
            Err(error) => return Err(redb::Error::from(error)),
        }
        drop(read);
        Ok(database)
    });
    match opened {
        Ok(Ok(database)) => Ok(database),
        Ok(Err(redb::Error::DatabaseAlreadyOpen)) => Err(Trouble::Taken),
        Ok(Err(redb::Error::Io(error))) if !short(error.kind()) => Err(Trouble::Io(error)),
        Ok(Err(_)) | Err(_) => Err(Trouble::Damaged),
    }
}

/// The catalogue's entries, if nobody writes it and it is sound.
pub fn catalogued(folder: &Path) -> Option<BTreeMap<u64, SegmentMeta>> {
    let path = folder.join(CATALOGUE);
    if !path.exists() {
        return None;
    }
    let database = guarded(|| Database::builder().set_cache_size(CACHE).open(&path)).ok()?;
    listed(&database).ok()
}

fn listed(database: &Database) -> Result<BTreeMap<u64, SegmentMeta>, redb::Error> {
    let read = database.begin_read()?;
    let table = match read.open_table(SEGMENTS) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(BTreeMap::new()),
        Err(error) => return Err(error.into()),
    };
    let mut metas = BTreeMap::new();
    for row in table.iter()? {
        let (segment, bytes) = row?;
        if let Ok(meta) = postcard::from_bytes::<SegmentMeta>(bytes.value()) {
            metas.insert(segment.value(), meta);
        }
    }
    Ok(metas)
}

/// The files of a folder that are named like segments, by number.
pub fn files(folder: &Path) -> io::Result<BTreeMap<u64, PathBuf>> {
    let mut found = BTreeMap::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let named = path.extension().is_some_and(|extension| extension == "wfcap");
        let number = path.file_stem().and_then(|stem| stem.to_str()?.parse().ok());
        if let Some(number) = number.filter(|_| named) {
            found.insert(number, path);
        }
    }
    Ok(found)
}

/// Reads a file that may be a segment.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    if fs::metadata(path)?.len() > MOST_BYTES {
        let problem = format!("{}: too large for a segment", path.display());
        return Err(io::Error::new(io::ErrorKind::InvalidData, problem));
    }
    fs::read(path)
}

/// What a segment's own bytes say of it.
pub fn survey(bytes: &[u8]) -> Option<SegmentMeta> {
    let head = wingfold_capture::reader::head(bytes).ok()?;
    let mut meta = SegmentMeta { segment: head.segment, run: head.run, ..SegmentMeta::default() };
    meta.bytes = bytes.len() as u64;
    let mut seen = false;
    for entry in entries(bytes) {
        match entry {
            Entry::Checkpoint(head, _) if !seen => {
                (meta.first, meta.last, meta.gap, seen) =
                    ((head.call, head.at), (head.call - 1, head.at), head.gap, true);
            }
            Entry::Call(call) => meta.last = (call.number, call.at),
            Entry::Index(_) => meta.sealed = true,
            _ => {}
        }
    }
    seen.then_some(meta)
}

impl Disk for Folder {
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>> {
        let database = self.catalogue()?;
        let known = listed(database).unwrap_or_default();
        let mut kept = Vec::new();
        for (segment, path) in files(&self.path)? {
            // Those that were not ended are read: the process that wrote them was killed.
            let meta = match known.get(&segment).filter(|meta| meta.sealed) {
                Some(meta) => Some(meta.clone()),
                None => read(&path).ok().and_then(|bytes| survey(&bytes)),
            };
            // What cannot be read at all keeps its number, so that it is not written over, and goes in its turn.
            let bytes = fs::metadata(&path).map_or(0, |data| data.len());
            let meta = meta.unwrap_or(SegmentMeta { bytes, ..SegmentMeta::default() });
            kept.push(SegmentMeta { segment, ..meta });
        }
        self.write(|table| {
            table.retain(|_, _| false)?;
            for meta in &kept {
                let bytes = postcard::to_allocvec(meta).unwrap_or_default();
                table.insert(meta.segment, bytes.as_slice())?;
            }
            Ok(())
        })?;
        Ok(kept)
    }

    fn carry_out(&mut self, what: &Do) -> io::Result<()> {
        match what {
            Do::Create(meta) => {
                self.current = None;
                // A folder that was taken away is made again; its catalogue went with it.
                if !self.path.is_dir() {
                    self.catalogue = None;
                }
                self.catalogue()?;
                let path = self.path.join(file_name(meta.segment));
                let file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(path)?;
                self.current = Some((meta.segment, file));
                self.note(meta)
            }
            Do::Append(bytes, meta) => {
                let lost = || io::Error::new(io::ErrorKind::NotFound, "no segment is open");
                let (segment, file) = self.current.as_mut().ok_or_else(lost)?;
                if *segment != meta.segment {
                    return Err(lost());
                }
                file.write_all(bytes)?;
                // A file that was taken away goes on taking bytes that nobody will read.
                if self.path.join(file_name(meta.segment)).exists() {
                    Ok(())
                } else {
                    Err(lost())
                }
            }
            Do::Seal(meta) => {
                if let Some((_, file)) = self.current.take() {
                    file.sync_data()?;
                }
                self.note(meta)
            }
            Do::Remove(segment) => {
                match fs::remove_file(self.path.join(file_name(*segment))) {
                    Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                    _ => {}
                }
                let segment = *segment;
                self.write(|table| table.remove(segment).map(drop))
            }
        }
    }
}
