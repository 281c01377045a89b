//! The operators' page has the catalogue as it is.

#[test]
fn the_page_has_every_figure_as_the_catalogue_says_it() {
    let page = include_str!("../../../docs/figures.md");
    let table = wingfold_metrics::catalogue::markdown();
    assert!(page.ends_with(&table), "write it anew: wingfold metrics list --markdown");
}
