//! The operators' page contains the catalogue.

#[test]
fn operators_page_ends_with_the_catalogue_table() {
    let page = include_str!("../../../docs/figures.md");
    let table = wingfold_metrics::catalogue::markdown();
    assert!(page.ends_with(&table), "replace the table by the output of: wingfold metrics list --markdown");
}
