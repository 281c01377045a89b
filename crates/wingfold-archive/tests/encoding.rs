//! What a capture folder holds besides the segments: file names and rows of the catalogue, which later builds
//! read.

mod common;

use common::TempFolder;
use redb::{Database, ReadableDatabase, TableDefinition};
use wingfold_archive::folder::{director_folder_name, segment_file_name};
use wingfold_archive::{SegmentFolder, SegmentStore};
use wingfold_capture::model::{CallPosition, Gap, GapReason, SegmentMeta};
use wingfold_capture::segment_writer::DiskOperation;
use wingfold_director::interface::Timestamp;

#[test]
fn file_and_folder_names_are_fixed() {
    assert_eq!(segment_file_name(3), "00000003.wfcap");
    assert_eq!(director_folder_name("n-1.a/b_c"), "n-1_2ea_2fb_5fc");
    assert_eq!(director_folder_name(""), "_");
}

#[test]
fn catalogue_row_layout_is_fixed() {
    let root = TempFolder::new();
    let meta = SegmentMeta {
        segment: 3,
        incarnation: Timestamp(300),
        first: CallPosition { number: 1, at: Timestamp(1000) },
        last: CallPosition { number: 2, at: Timestamp(2000) },
        bytes: 70,
        gap: Some(Gap { from: 4, to: 5, reason: GapReason::DiskFull }),
        sealed: true,
    };
    let mut folder = SegmentFolder::new(&root.0, "n");
    folder.open().unwrap();
    folder.apply(&DiskOperation::Create(meta.clone())).unwrap();
    drop(folder);
    let director_folder = root.0.join("n");
    assert!(director_folder.join("00000003.wfcap").exists());
    let database = Database::open(director_folder.join("catalogue.redb")).unwrap();
    let table: TableDefinition<u64, &[u8]> = TableDefinition::new("segments");
    let table = database.begin_read().unwrap().open_table(table).unwrap();
    let row = table.get(3).unwrap().expect("a row of segment 3");
    let expected = [3, 0xAC, 2, 1, 0xE8, 7, 2, 0xD0, 15, 70, 1, 4, 5, 1, 1];
    assert_eq!(row.value(), expected);
}
