//! The decisions of a director, with one file per concern. [`crate::director`] sets their order.
//!
//! Tables follow the Best Exit Selection Design (docs/design.md): each zone of proxies is an owner that
//! scores every host by reported latency and loss; the leading group keeps its listed weight, and the weight
//! of laggards (hosts outside that group) is halved step by step. The other decisions cover cases that the
//! design leaves open.

pub(crate) mod admission;
pub(crate) mod assignment;
pub(crate) mod capacity;
pub(crate) mod endpoint_list;
pub(crate) mod health_checks;
pub(crate) mod load_reports;
pub(crate) mod locality;
pub(crate) mod message_limit;
pub(crate) mod outlier_detection;
pub(crate) mod push;
pub(crate) mod ranking;
pub(crate) mod send_capacity;
pub(crate) mod slow_start;
pub(crate) mod subsetting;
pub(crate) mod table_plan;
