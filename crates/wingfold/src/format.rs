//! Formats times, classes, events and actions as text for operators.

mod action;
mod event;
mod time;

pub use action::action;
pub use event::event;
pub use time::{parse_time, time, TimeError};

use wingfold_capture::Head;
use wingfold_director::interface::ClassMask;

/// The number of classes that a mask can hold.
const MASK_BITS: usize = 64;

/// The names of the classes in a mask, joined by `+`, or `all classes` for a mask that is 0 or has every
/// class.
pub fn class_names(head: &Head, mask: ClassMask) -> String {
    let count = head.class_names.len().max(head.settings.classes.len());
    let in_mask = |index: &usize| mask.0 >> index & 1 == 1;
    let names: Vec<String> =
        (0..count.min(MASK_BITS)).filter(in_mask).map(|index| class_name(head, index)).collect();
    if mask.0 == 0 || names.len() == count {
        "all classes".into()
    } else {
        names.join("+")
    }
}

/// The name of a class, or its index if the capture does not name the class.
pub fn class_name(head: &Head, index: usize) -> String {
    head.class_names.get(index).cloned().unwrap_or_else(|| format!("class {index}"))
}
