//! The texts of notices as builds up to 0.1.0 wrote them. Only the replay of captures of those builds uses
//! this module. It can be removed once no such capture is kept any more, including those in `captures/`.
use std::borrow::Cow;
use wingfold_director::interface::{Action, Notice, Readiness};

/// The same actions, with the notices as a build up to 0.1.0 would have recorded them.
pub(crate) fn in_original_wording(actions: &[Action]) -> Cow<'_, [Action]> {
    if !actions.iter().any(|action| matches!(action, Action::Notice(_))) {
        return Cow::Borrowed(actions);
    }
    let reworded = actions.iter().map(|action| match action {
        Action::Notice(notice) => Action::Notice(Notice::Recorded(original_text(notice))),
        other => other.clone(),
    });
    Cow::Owned(reworded.collect())
}

fn original_text(notice: &Notice) -> String {
    match notice {
        Notice::ShardsUnsupported => "slices are not supported: no orders are given".into(),
        Notice::EndpointListFailed { retry_in_s } => {
            format!("list call failed, asking again in {retry_in_s:.1} s")
        }
        Notice::HostNotReady { host, readiness } => {
            let state = match readiness {
                Readiness::Ready => "Ready",
                Readiness::Draining => "Draining",
                Readiness::Removed => "Gone",
            };
            format!("{} is {state}", host.0)
        }
        Notice::HostStarted { host } => format!("{} has started", host.0),
        Notice::WeightChanged { host, zone, weight_halvings, score, leading_score } => {
            let what = format!("{} from {}: score {score:.0} against {leading_score:.0}", host.0, zone.0);
            format!("{what}, weight / {}", 1u64 << weight_halvings)
        }
        Notice::SubsetSizeChanged { zone, requests_per_connection, baseline_loss, utilization } => {
            let why = format!("usual loss {baseline_loss:.2}, load {utilization:.2}");
            format!("{} wants {requests_per_connection} uses of a connection: {why}", zone.0)
        }
        Notice::HostEjected { host, zone, consecutive_failures, missed_attempts, consecutive_useless } => {
            let counts = format!("{consecutive_failures:.0} lost in a row, {missed_attempts:.0} missed");
            format!("{} out for {}: {counts}, {consecutive_useless:.0} useless in all", host.0, zone.0)
        }
        Notice::HostRecovered { host, zone } => format!("{} is back for {}", host.0, zone.0),
        Notice::AdmissionChanged { admission_ratio, loss, utilization, latency_ms } => {
            let why = format!("of the work: loss {loss:.2}, busy {utilization:.2}, {latency_ms:.0} ms");
            format!("lets in {admission_ratio:.2} {why}")
        }
        Notice::RelativeSpeedChanged { machine_type, relative_speed } => {
            format!("{machine_type} does {relative_speed:.2} of the fastest kind for its size")
        }
        Notice::Recorded(text) => text.clone(),
    }
}
