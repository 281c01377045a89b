//! A director's folder of segments: one file for each segment, and a catalogue.

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

/// The largest file that is read as a segment, in bytes.
pub const MAX_SEGMENT_BYTES: u64 = 1 << 30;

/// The extension of a segment file.
const EXTENSION: &str = "wfcap";
/// Permissions of the folder. Only the owner has access, as captures contain the names of hosts and zones.
const DIRECTORY_MODE: u32 = 0o700;
/// Permissions of a segment file, restricted like those of the folder.
const FILE_MODE: u32 = 0o600;

/// The file name of a segment.
pub fn segment_file_name(segment: u64) -> String {
    format!("{segment:08}.{EXTENSION}")
}

/// The name of a director's folder. Bytes other than ASCII letters, digits and `-` are encoded as `_` and two
/// hexadecimal digits, so that directors with different names never share a folder.
pub fn director_folder_name(director: &str) -> String {
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

/// The files in a folder that have the name of a segment, by the segment's number.
pub fn segment_files(folder: &Path) -> io::Result<BTreeMap<u64, PathBuf>> {
    let mut files = BTreeMap::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if let Some(segment) = segment_number(&path) {
            files.insert(segment, path);
        }
    }
    Ok(files)
}

/// The number of a segment by the name of its file; `None` if the file does not have the name of a segment.
fn segment_number(path: &Path) -> Option<u64> {
    let stem = path.file_stem()?.to_str()?;
    stem.parse().ok().filter(|_| path.extension().is_some_and(|extension| extension == EXTENSION))
}

/// Reads a file that may be a segment. A file of more than [`MAX_SEGMENT_BYTES`] is an error.
pub fn read_segment(path: &Path) -> io::Result<Vec<u8>> {
    let bytes = fs::metadata(path)?.len();
    if bytes > MAX_SEGMENT_BYTES {
        let message = format!(
            "{}: the file has {bytes} bytes, a segment has at most {MAX_SEGMENT_BYTES}",
            path.display()
        );
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    fs::read(path)
}

/// The catalogue entry of a segment, from the segment's contents; `None` if they have no valid head or no
/// checkpoint.
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

/// One director's folder of segments, opened for writing.
#[derive(Debug)]
pub struct SegmentFolder {
    path: PathBuf,
    /// `None` until the catalogue is opened. Also `None` after a failed update, as its database may be
    /// unusable then; the next access opens it again.
    catalogue: Option<Catalogue>,
    /// The number and the file of the segment that is being written.
    current: Option<(u64, File)>,
}

impl SegmentFolder {
    /// The folder of a director within `root`. Neither of them is created before the folder is opened.
    pub fn new(root: &Path, director: &str) -> Self {
        SegmentFolder { path: root.join(director_folder_name(director)), catalogue: None, current: None }
    }

    /// The catalogue. If it is not open, it is opened, and the folder is created if it does not exist.
    fn catalogue(&mut self) -> io::Result<&Catalogue> {
        let catalogue = match self.catalogue.take() {
            Some(catalogue) => catalogue,
            None => {
                fs::DirBuilder::new().recursive(true).mode(DIRECTORY_MODE).create(&self.path)?;
                Catalogue::open(&self.path)?
            }
        };
        Ok(self.catalogue.insert(catalogue))
    }

    /// Updates the catalogue, and closes it if that fails.
    fn update_catalogue(&mut self, update: impl Fn(&Catalogue) -> io::Result<()>) -> io::Result<()> {
        let updated = self.catalogue().and_then(update);
        if updated.is_err() {
            self.catalogue = None;
        }
        updated
    }

    fn segment_path(&self, segment: u64) -> PathBuf {
        self.path.join(segment_file_name(segment))
    }

    /// Creates a segment file, and opens it for writing.
    fn create(&mut self, meta: &SegmentMeta) -> io::Result<()> {
        self.current = None;
        // If the folder was removed, its catalogue was removed with it: both are created again.
        if !self.path.is_dir() {
            self.catalogue = None;
        }
        self.catalogue()?;
        let path = self.segment_path(meta.segment);
        let file = OpenOptions::new().write(true).create_new(true).mode(FILE_MODE).open(path)?;
        self.current = Some((meta.segment, file));
        self.update_catalogue(|catalogue| catalogue.insert(meta))
    }

    /// Appends to the open segment file. The catalogue is updated only when the segment is sealed.
    fn append(&mut self, bytes: &[u8], meta: &SegmentMeta) -> io::Result<()> {
        let not_found = |message: &str| io::Error::new(io::ErrorKind::NotFound, message);
        let (segment, file) =
            self.current.as_mut().ok_or_else(|| not_found("no segment is open for writing"))?;
        if *segment != meta.segment {
            return Err(not_found("another segment is open for writing"));
        }
        file.write_all(bytes)?;
        // Writing to a removed file succeeds, but the data is lost.
        if self.segment_path(meta.segment).exists() {
            Ok(())
        } else {
            Err(not_found("the segment file was removed"))
        }
    }

    /// Syncs and closes the open segment file, and marks the segment as sealed in the catalogue.
    fn seal(&mut self, meta: &SegmentMeta) -> io::Result<()> {
        if let Some((_, file)) = self.current.take() {
            file.sync_data()?;
        }
        self.update_catalogue(|catalogue| catalogue.insert(meta))
    }

    /// Removes a segment file, unless it does not exist any more, and its catalogue entry.
    fn remove(&mut self, segment: u64) -> io::Result<()> {
        match fs::remove_file(self.segment_path(segment)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => self.update_catalogue(|catalogue| catalogue.remove(segment)),
        }
    }
}

/// The catalogue entry of a segment file. A segment that was not sealed, because the director was killed, is
/// read to find out what it holds. A file that cannot be read gets an entry with its number and size, so that
/// it is not overwritten, and is removed like other old segments.
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
