//! A folder of segments, one file each, with its catalogue.

mod catalogue;

pub use catalogue::read_catalogue;

use crate::store::SegmentStore;
use catalogue::Catalogue;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use wingfold_capture::model::{CallPosition, SegmentMeta};
use wingfold_capture::segment_writer::DiskOperation;
use wingfold_capture::{entries, Entry};

/// The largest file that is read as a segment.
pub const MAX_SEGMENT_BYTES: u64 = 1 << 30;

/// The extension of a segment's file.
const EXTENSION: &str = "wfcap";
/// Captures name hosts and zones, which concern the operators only.
const FOLDER_MODE: u32 = 0o700;
const FILE_MODE: u32 = 0o600;

/// The name of a segment's file.
pub fn file_name(segment: u64) -> String {
    format!("{segment:08}.{EXTENSION}")
}

/// The name of a director's folder. Unusual characters are encoded by their numbers, so that two directors never share a
/// folder.
pub fn folder_name(director: &str) -> String {
    let mut folder = String::new();
    for byte in director.bytes() {
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

/// The files in a folder that are named like segments, by number.
pub fn segment_files(folder: &Path) -> io::Result<BTreeMap<u64, PathBuf>> {
    let mut files = BTreeMap::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if let Some(segment) = segment_of_file(&path) {
            files.insert(segment, path);
        }
    }
    Ok(files)
}

fn segment_of_file(path: &Path) -> Option<u64> {
    let stem = path.file_stem()?.to_str()?;
    stem.parse().ok().filter(|_| path.extension().is_some_and(|extension| extension == EXTENSION))
}

/// Reads a file that may be a segment.
pub fn read_segment(path: &Path) -> io::Result<Vec<u8>> {
    if fs::metadata(path)?.len() > MAX_SEGMENT_BYTES {
        let message = format!("{}: too large for a segment", path.display());
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    fs::read(path)
}

/// What the catalogue should hold of a segment, by its contents; `None` if it has no valid head or checkpoint.
pub fn scan_segment(bytes: &[u8]) -> Option<SegmentMeta> {
    let head = wingfold_capture::reader::head(bytes).ok()?;
    let mut meta = SegmentMeta {
        segment: head.segment,
        incarnation: head.incarnation,
        bytes: bytes.len() as u64,
        ..SegmentMeta::default()
    };
    let mut has_checkpoint = false;
    for entry in entries(bytes) {
        match entry {
            Entry::Checkpoint(head, _) if !has_checkpoint => {
                meta.first = CallPosition { number: head.call, at: head.at };
                meta.last = CallPosition { number: head.call - 1, at: head.at };
                meta.gap = head.gap;
                has_checkpoint = true;
            }
            Entry::Call(call) => meta.last = call.position(),
            Entry::Index(_) => meta.sealed = true,
            _ => {}
        }
    }
    has_checkpoint.then_some(meta)
}

/// One director's folder of segments, for writing.
#[derive(Debug)]
pub struct SegmentFolder {
    path: PathBuf,
    /// `None` until it is opened, and after a failure: the store may be of no more use then.
    catalogue: Option<Catalogue>,
    /// The segment that is being written, and its file.
    current: Option<(u64, File)>,
}

impl SegmentFolder {
    /// The folder of a director below `root`.
    pub fn new(root: &Path, director: &str) -> Self {
        SegmentFolder { path: root.join(folder_name(director)), catalogue: None, current: None }
    }

    /// The catalogue; opens it, and creates the folder, where that is needed.
    fn catalogue(&mut self) -> io::Result<&Catalogue> {
        let catalogue = match self.catalogue.take() {
            Some(catalogue) => catalogue,
            None => {
                fs::DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(&self.path)?;
                Catalogue::open(&self.path)?
            }
        };
        Ok(self.catalogue.insert(catalogue))
    }

    fn update_catalogue(&mut self, update: impl Fn(&Catalogue) -> io::Result<()>) -> io::Result<()> {
        let updated = self.catalogue().and_then(update);
        if updated.is_err() {
            self.catalogue = None;
        }
        updated
    }

    fn segment_path(&self, segment: u64) -> PathBuf {
        self.path.join(file_name(segment))
    }

    fn create(&mut self, meta: &SegmentMeta) -> io::Result<()> {
        self.current = None;
        // If the folder was removed, so was its catalogue: both are created anew.
        if !self.path.is_dir() {
            self.catalogue = None;
        }
        self.catalogue()?;
        let path = self.segment_path(meta.segment);
        let file = OpenOptions::new().write(true).create_new(true).mode(FILE_MODE).open(path)?;
        self.current = Some((meta.segment, file));
        self.update_catalogue(|catalogue| catalogue.insert(meta))
    }

    fn append(&mut self, bytes: &[u8], meta: &SegmentMeta) -> io::Result<()> {
        let not_open = || io::Error::new(io::ErrorKind::NotFound, "no segment is open");
        let (segment, file) = self.current.as_mut().ok_or_else(not_open)?;
        if *segment != meta.segment {
            return Err(not_open());
        }
        file.write_all(bytes)?;
        // A removed file can still be written to, but nobody will read it.
        if self.segment_path(meta.segment).exists() {
            Ok(())
        } else {
            Err(not_open())
        }
    }

    fn seal(&mut self, meta: &SegmentMeta) -> io::Result<()> {
        if let Some((_, file)) = self.current.take() {
            file.sync_data()?;
        }
        self.update_catalogue(|catalogue| catalogue.insert(meta))
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        match fs::remove_file(self.segment_path(segment)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => self.update_catalogue(|catalogue| catalogue.remove(segment)),
        }
    }
}

/// What is known of a segment's file. Segments that were not sealed are read: their process was killed. A file that cannot
/// be read keeps its number, so that it is not overwritten, and is removed in its turn.
fn meta_of_file(segment: u64, path: &Path, catalogued: Option<&SegmentMeta>) -> SegmentMeta {
    let meta = match catalogued.filter(|meta| meta.sealed) {
        Some(meta) => Some(meta.clone()),
        None => read_segment(path).ok().and_then(|bytes| scan_segment(&bytes)),
    };
    let bytes = fs::metadata(path).map_or(0, |metadata| metadata.len());
    let meta = meta.unwrap_or(SegmentMeta { bytes, ..SegmentMeta::default() });
    SegmentMeta { segment, ..meta }
}

impl SegmentStore for SegmentFolder {
    fn open(&mut self) -> io::Result<Vec<SegmentMeta>> {
        let catalogued = self.catalogue()?.segments();
        let files = segment_files(&self.path)?.into_iter();
        let segments: Vec<SegmentMeta> =
            files.map(|(segment, path)| meta_of_file(segment, &path, catalogued.get(&segment))).collect();
        self.update_catalogue(|catalogue| catalogue.replace(&segments))?;
        Ok(segments)
    }

    fn apply(&mut self, operation: &DiskOperation) -> io::Result<()> {
        match operation {
            DiskOperation::Create(meta) => self.create(meta),
            DiskOperation::Append(bytes, meta) => self.append(bytes, meta),
            DiskOperation::Seal(meta) => self.seal(meta),
            DiskOperation::Remove(segment) => self.remove(*segment),
        }
    }
}
