//! Replays a capture: runs a director over the recorded events, and compares its actions with the recorded
//! actions call by call.

mod report;
mod validation;

pub use report::{Damage, Difference, DifferenceKind, ReplayError, ReplayMode, ReplayReport};

use crate::model::{encode_actions, Call, CheckpointHead, Head, NoticeWording};
use crate::original_wording::in_original_wording;
use crate::reader::Entry;
use crate::replay_state::{Divergence, ReplayState};
use std::borrow::Cow;
use std::collections::BTreeMap;
use validation::is_valid_call;
use wingfold_director::interface::{Action, ClassMask, TableId, Timestamp, ZoneId};
use wingfold_director::Director;

/// Replays the entries of a capture, which are fed in the order of the capture.
#[derive(Debug)]
pub struct Replayer {
    mode: ReplayMode,
    head: Head,
    /// `None` until a checkpoint is restored, and after missing calls.
    director: Option<Director>,
    /// The number of the next call that can be replayed.
    next_call: u64,
    /// The state after the recorded actions.
    recorded: ReplayState,
    /// The state after the replayed actions.
    replayed: ReplayState,
    /// The zone and the classes of each table.
    zones_and_classes: BTreeMap<TableId, (ZoneId, ClassMask)>,
    /// How long and how far each table has differed.
    divergences: BTreeMap<TableId, Divergence>,
    /// The counts and findings so far.
    pub report: ReplayReport,
    /// The first difference, if any.
    pub first_difference: Option<Difference>,
    /// The time of the last call, replayed or skipped.
    last_call_at: Timestamp,
    /// The start of the span that is counted and compared.
    from: Timestamp,
    /// The end of that span; later calls are not replayed.
    until: Timestamp,
    /// The replayed actions of the last call; the buffer is reused for the next call.
    actions: Vec<Action>,
}

impl Replayer {
    /// A replayer before the first entry of a capture.
    pub fn new(mode: ReplayMode) -> Self {
        Replayer {
            mode,
            head: Head::default(),
            director: None,
            next_call: 0,
            recorded: ReplayState::default(),
            replayed: ReplayState::default(),
            zones_and_classes: BTreeMap::new(),
            divergences: BTreeMap::new(),
            report: ReplayReport::default(),
            first_difference: None,
            last_call_at: Timestamp(0),
            from: Timestamp(0),
            until: Timestamp(u64::MAX),
            actions: Vec::new(),
        }
    }

    /// Restricts counts and comparisons to a span of time. Calls before the span are replayed too, as the
    /// state of the director depends on them.
    pub fn between(mut self, from: Timestamp, until: Timestamp) -> Self {
        (self.from, self.until) = (from, until);
        self
    }

    /// The director after the last replayed call; `None` before the first checkpoint and after missing calls.
    pub fn director(&self) -> Option<&Director> {
        self.director.as_ref()
    }

    /// The head of the segment that was fed last.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Whether a call after the span has been reached, so that the rest of the capture is not needed.
    pub fn is_done(&self) -> bool {
        self.last_call_at > self.until
    }

    /// How long and how far recorded and replayed tables have differed up to now, by the zone and the bits of
    /// the class mask of each table.
    pub fn divergences(&self) -> BTreeMap<(ZoneId, u64), Vec<(TableId, Divergence)>> {
        let mut by_zone_and_classes: BTreeMap<(ZoneId, u64), Vec<(TableId, Divergence)>> = BTreeMap::new();
        for (table, divergence) in
            self.divergences.iter().filter(|(_, divergence)| divergence.first.is_some())
        {
            let mut divergence = divergence.clone();
            divergence.end(self.last_call_at);
            let unknown = || (ZoneId("?".into()), ClassMask(0));
            let (zone, classes) = self.zones_and_classes.get(table).cloned().unwrap_or_else(unknown);
            by_zone_and_classes.entry((zone, classes.0)).or_default().push((*table, divergence));
        }
        by_zone_and_classes
    }

    /// Replays the next entry of the capture. If the entry is a call that can be replayed, returns the call
    /// and the actions of the replayed director.
    pub fn feed(&mut self, entry: Entry) -> Result<Option<(Call, &[Action])>, ReplayError> {
        match entry {
            Entry::Head(head) => self.apply_head(*head)?,
            Entry::Checkpoint(head, bytes) => self.apply_checkpoint(head, &bytes)?,
            Entry::Call(call) if self.can_replay(&call) => return self.replay_call(call).map(Some),
            Entry::Call(call) => self.skip_call(&call),
            Entry::Index(_) => {}
            Entry::Damage { offset, fault } => {
                self.report.damage.push(Damage { segment: self.head.segment, offset, fault });
            }
        }
        Ok(None)
    }

    /// Takes over the head of a segment. The head of another director or incarnation ends the replayed state.
    fn apply_head(&mut self, head: Head) -> Result<(), ReplayError> {
        head.settings.validate().map_err(ReplayError::Settings)?;
        if !self.report.builds.contains(&head.build) {
            self.report.builds.push(head.build.clone());
        }
        if !self.head.is_same_incarnation(&head) {
            self.director = None;
        }
        self.head = head;
        Ok(())
    }

    /// Compares a checkpoint with the replayed state, if both are before the same call. Then restores the
    /// director from the checkpoint, unless [`ReplayMode::Compare`] continues with the compared state after a
    /// difference.
    fn apply_checkpoint(&mut self, head: CheckpointHead, bytes: &[u8]) -> Result<(), ReplayError> {
        let call = head.call;
        let at = head.at;
        self.report.gaps.extend(head.gap.filter(|_| at >= self.from));
        if self.next_call == call && self.director.is_some() {
            self.compare_state(call, at, bytes);
            if self.mode == ReplayMode::Compare && self.report.differences > 0 {
                return Ok(());
            }
        }
        let director = Director::restore_for(bytes, &self.head.settings)
            .map_err(|error| ReplayError::Checkpoint { call, error })?;
        self.recorded = ReplayState::from_director(&director);
        self.replayed = self.recorded.clone();
        self.update_zones_and_classes(&director);
        (self.director, self.next_call) = (Some(director), call);
        Ok(())
    }

    /// Compares the checkpoint of the replayed director with the recorded one.
    fn compare_state(&mut self, call: u64, at: Timestamp, checkpoint: &[u8]) {
        let Some(director) = &self.director else { return };
        self.report.compared_states += 1;
        if self.report.differences == 0 && director.checkpoint() != checkpoint {
            self.record_difference(Difference { call, at, kind: DifferenceKind::State });
        }
    }

    /// Whether a call follows directly on the replayed state and is not after the span.
    fn can_replay(&self, call: &Call) -> bool {
        self.director.is_some() && call.number == self.next_call && call.at <= self.until
    }

    /// Skips a call that cannot be replayed, and counts the call unless it is after the span.
    fn skip_call(&mut self, call: &Call) {
        self.report.skipped_calls += u64::from(call.at <= self.until);
        self.last_call_at = self.last_call_at.max(call.at);
        // Calls after a missing call cannot be replayed.
        if call.number != self.next_call {
            self.director = None;
        }
    }

    /// Replays a call and compares the result with the recording.
    fn replay_call(&mut self, call: Call) -> Result<(Call, &[Action]), ReplayError> {
        let invalid = ReplayError::Call(call.number);
        let director = self.director.take().filter(|director| is_valid_call(&call, director));
        let mut director = director.ok_or(invalid)?;
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        director.handle(call.at, &call.events, &mut actions);
        (self.next_call, self.last_call_at) = (call.number + 1, call.at);
        let is_in_span = call.at >= self.from;
        if is_in_span {
            self.count_call(&call);
            if let Some(kind) = self.difference(&call, &actions, director.digest()) {
                self.record_difference(Difference { call: call.number, at: call.at, kind });
            }
        }
        if self.mode == ReplayMode::Compare {
            self.compare_tables(&call, &actions, &director, is_in_span)?;
        }
        self.director = Some(director);
        self.actions = actions;
        Ok((call, &self.actions))
    }

    fn count_call(&mut self, call: &Call) {
        let first_at = self.report.span.map_or(call.at, |(first, _)| first);
        self.report.span = Some((first_at, call.at));
        self.report.duration_s = call.at.since(first_at);
        self.report.calls += 1;
        self.report.events += call.events.len() as u64;
    }

    /// The difference, if any, between a recorded and a replayed call; actions are compared as encoded bytes.
    fn difference(&self, call: &Call, actions: &[Action], digest: u64) -> Option<DifferenceKind> {
        let replayed = match self.head.notice_wording {
            NoticeWording::Original => in_original_wording(actions),
            NoticeWording::KeyValue => Cow::Borrowed(actions),
        };
        if encode_actions(&replayed) != call.actions {
            return Some(DifferenceKind::Actions {
                events: call.events.clone(),
                recorded: call.actions().unwrap_or_default(),
                replayed: replayed.into_owned(),
            });
        }
        (digest != call.digest).then_some(DifferenceKind::Tables { recorded: call.digest, replayed: digest })
    }

    /// Applies the recorded and the replayed actions of a call to their states. After the first difference of
    /// the replay also compares the tables that the actions change.
    fn compare_tables(
        &mut self,
        call: &Call,
        actions: &[Action],
        director: &Director,
        is_in_span: bool,
    ) -> Result<(), ReplayError> {
        let recorded = call.actions().ok_or(ReplayError::Call(call.number))?;
        let mut changed_tables = self.recorded.apply(&recorded);
        changed_tables.extend(self.replayed.apply(actions));
        if !is_in_span || self.report.differences == 0 {
            return Ok(());
        }
        let is_unknown = |table: &TableId| !self.zones_and_classes.contains_key(table);
        if changed_tables.iter().any(is_unknown) || self.zones_and_classes.is_empty() {
            self.update_zones_and_classes(director);
        }
        let empty = Default::default();
        for table in changed_tables {
            let recorded = self.recorded.tables.get(&table).unwrap_or(&empty);
            let replayed = self.replayed.tables.get(&table).unwrap_or(&empty);
            self.divergences.entry(table).or_default().observe(call.at, recorded, replayed);
        }
        Ok(())
    }

    fn record_difference(&mut self, difference: Difference) {
        self.report.differences += 1;
        self.first_difference.get_or_insert(difference);
    }

    fn update_zones_and_classes(&mut self, director: &Director) {
        let views = director.table_views().into_iter();
        self.zones_and_classes.extend(views.map(|view| (view.table, (view.zone, view.classes))));
    }
}
