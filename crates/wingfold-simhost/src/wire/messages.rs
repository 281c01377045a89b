//! The kinds of messages, and readers of the messages that are not events by themselves: the first line of a
//! batch, the selection and the launch of an instance, and the lines of an endpoint list.

use super::{Fields, OrderError, WireError};
use wingfold_director::interface::{Endpoint, EndpointListKind, Readiness, Timestamp};
use wingfold_settings::PlatformSettings;

/// The name of the message that begins a batch.
pub(super) const BATCH_START: &str = "batch";

/// The weight of an endpoint whose entry has no weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The kind of a message, as far as it determines where in a batch the message is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// The first line of a batch.
    BatchStart,
    /// The last line of a batch.
    BatchEnd,
    /// Selects the instance to which the following lines belong.
    Instance,
    /// Starts an instance.
    Launch,
    /// Ends an instance.
    Destroy,
    /// The first line of an endpoint list.
    EndpointList,
    /// An entry of an endpoint list.
    Endpoint,
    /// Any other event of an instance, or a name that is not a message of this protocol.
    Event,
}

impl MessageKind {
    /// The kind of the message of this name.
    pub(super) fn of(message: &str) -> Self {
        match message {
            BATCH_START => MessageKind::BatchStart,
            "flush" => MessageKind::BatchEnd,
            "for" => MessageKind::Instance,
            "launch" => MessageKind::Launch,
            "destroy" => MessageKind::Destroy,
            "fleet" => MessageKind::EndpointList,
            "item" => MessageKind::Endpoint,
            _ => MessageKind::Event,
        }
    }
}

/// The first line of a batch.
#[derive(Clone, Copy, Debug)]
pub struct BatchStart {
    /// The time of all events of the batch.
    pub clock: Timestamp,
    /// The number that the reply repeats.
    pub sequence: u64,
}

/// The start of an instance.
pub struct Launch {
    /// The seed of the director's random numbers.
    pub seed: u64,
    /// The platform's settings.
    pub settings: PlatformSettings,
}

/// The first line of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointListStart {
    /// Whether the entries are changes, the complete list or a cached list; `None` if the call to discovery
    /// failed.
    pub kind: Option<EndpointListKind>,
    /// The number of entries that follow.
    pub entries: usize,
}

/// Reads the first line of a batch.
pub fn read_batch_start(fields: &mut Fields) -> Result<BatchStart, WireError> {
    if fields.kind() != MessageKind::BatchStart {
        return Err(fields.unexpected(OrderError::OutsideBatch));
    }
    let clock = Timestamp(fields.value("t")?);
    let sequence = fields.value("frame")?;
    fields.end()?;
    Ok(BatchStart { clock, sequence })
}

/// Reads the number of the instance to which the following lines belong.
pub fn read_instance(fields: &mut Fields) -> Result<u64, WireError> {
    fields.value("i")
}

/// Reads the start of an instance.
pub fn read_launch(fields: &mut Fields) -> Result<Launch, WireError> {
    let seed = fields.value("random_seed")?;
    let text = fields.rest_of_line("info")?;
    let settings =
        wingfold_settings::parse_json(text).map_err(|error| fields.invalid("info", &error.to_string()))?;
    Ok(Launch { seed, settings })
}

/// Reads the first line of an endpoint list.
pub fn read_endpoint_list(fields: &mut Fields) -> Result<EndpointListStart, WireError> {
    let kind = match fields.text("how")? {
        "Partial" => Some(EndpointListKind::Changes),
        "Complete" => Some(EndpointListKind::Complete),
        "Persisted" => Some(EndpointListKind::Cached),
        "Error" => None,
        other => return Err(fields.invalid("how", other)),
    };
    fields.optional::<u64>("number")?;
    let is_failed = kind.is_none();
    let entries = if is_failed && fields.is_at_end() { 0 } else { fields.optional("items")?.unwrap_or(0) };
    Ok(EndpointListStart { kind, entries })
}

/// Reads an entry of an endpoint list.
pub fn read_endpoint(fields: &mut Fields) -> Result<Endpoint, WireError> {
    let machine_type = fields.text("kind")?.to_string();
    let zone = fields.zone()?;
    fields.optional::<i64>("cell")?;
    let readiness = match fields.text("readiness")? {
        "Ready" => Readiness::Ready,
        "Terminating" => Readiness::Draining,
        "Gone" => Readiness::Removed,
        other => return Err(fields.invalid("readiness", other)),
    };
    let weight = fields.optional("weight")?.unwrap_or(DEFAULT_WEIGHT);
    let started_at = fields.optional("up_since")?.filter(|at| *at != 0).map(Timestamp);
    let host = fields.host()?;
    Ok(Endpoint { host, machine_type, zone, readiness, weight, started_at })
}
