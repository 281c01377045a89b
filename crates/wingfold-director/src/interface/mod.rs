//! The director's interface: the events that a director handles, the actions that it takes, its settings, and
//! the types that these consist of. Decisions are taken in `policy`.

mod action;
mod endpoint_list;
mod event;
mod ids;
mod load;
mod notice;
mod settings;
mod settings_error;
mod time;

pub use action::{Action, Retry};
pub use endpoint_list::{Endpoint, EndpointListKind, Readiness};
pub use event::Event;
pub use ids::{ClassId, ClassMask, HostId, ProxyId, TableId, ZoneId};
pub use load::{AttemptCounts, HealthCheckOutcome, HostLoad, PeerAdvice};
pub use notice::Notice;
pub use settings::{AdmissionMode, Class, LoadReportSource, RepeatSafety, Settings};
pub use settings_error::SettingsError;
pub(crate) use settings_error::MAX_ZONES;
pub use time::{Micros, Timestamp};
