//! Reads the file of a case.

use super::{Case, Condition, Expectation, ExpectedStatus};
use std::time::Duration;
use wingfold_settings::hcl::{self, Block, Diagnostics};

/// The latest time of an expectation after the first call of the case, which is also the default end of its
/// span.
const MAX_OFFSET: Duration = Duration::from_secs(86_400);

impl Case {
    /// Reads a case from the text of its file; the error lists all faults of the file.
    pub fn read(file: &str, text: &str) -> Result<Case, Diagnostics> {
        hcl::read(file, text, |top| {
            let block = top.block("case");
            if block.is_none() {
                top.report("a block `case \"name\" { .. }` is missing");
            }
            let block = block.as_ref();
            let tables = block.and_then(|block| block.keyword("tables", &["identical", "free"]));
            Case {
                name: block.and_then(|block| block.label.clone()).unwrap_or_default(),
                about: block.and_then(|block| block.string("about")).unwrap_or_default(),
                identical: tables != Some("free"),
                expectations: top.blocks("expect").iter().filter_map(read_expectation).collect(),
            }
        })
    }
}

fn read_expectation(block: &Block) -> Option<Expectation> {
    let time = |name, default| block.duration(name, Duration::ZERO..=MAX_OFFSET).unwrap_or(default);
    let (after, until) = (time("after", Duration::ZERO), time("until", MAX_OFFSET));
    if after > until {
        block.report("`until` comes before `after`");
    }
    Some(Expectation { condition: read_condition(block)?, after, until })
}

fn read_condition(block: &Block) -> Option<Condition> {
    let zone = block.string("zone");
    let host = || block.require("host", block.string("host"), String::new());
    let bound = |name, default| block.number(name, 0.0..=1e9).unwrap_or(default);
    match block.label.as_deref() {
        Some("out") => Some(Condition::NotInTables { host: host(), zone }),
        Some("share") => {
            let host = host();
            Some(Condition::Share { host, zone, least: bound("least", 0.0), most: bound("most", 1.0) })
        }
        Some("standing") => {
            let name = block.keyword("is", &ExpectedStatus::NAMES).and_then(ExpectedStatus::from_name);
            let host = host();
            let expected = block.require("is", name, ExpectedStatus::Leading);
            Some(Condition::Status { host, zone, expected })
        }
        Some("level") => {
            let class = block.require("class", block.string("class"), String::new());
            let (least, most) = (bound("least", 0.0), bound("most", 1e9));
            Some(Condition::AdmissionLevel { class, zone, least, most })
        }
        _ => {
            block.reject("is not a kind of condition; expected out, share, standing or level");
            None
        }
    }
}
