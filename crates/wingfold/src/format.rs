//! Times, classes, events and actions as text for operators.

mod action;
mod event;
mod time;

pub use action::action;
pub use event::event;
pub use time::{parse_time, time, TimeError};

use wingfold_capture::Head;
use wingfold_director::interface::ClassMask;

/// Classes in a mask.
const MASK_BITS: usize = 64;

/// The classes of a mask by their names.
pub fn classes(head: &Head, mask: ClassMask) -> String {
    let count = head.class_names.len().max(head.settings.classes.len());
    let in_mask = |index: &usize| mask.0 >> index & 1 == 1;
    let names: Vec<String> =
        (0..count.min(MASK_BITS)).filter(in_mask).map(|index| class(head, index)).collect();
    if mask.0 == 0 || names.len() == count {
        "all classes".into()
    } else {
        names.join("+")
    }
}

/// A class by its name.
pub fn class(head: &Head, index: usize) -> String {
    head.class_names.get(index).cloned().unwrap_or_else(|| format!("class {index}"))
}
