//! Runs the module over a capture and compares, call by call, what it answers with what it answered then.

use crate::block::Fault;
use crate::mirror::{Apart, Mirror};
use crate::model::{pack, Call, CheckpointHead, Gap, Head, NoticeWording};
use crate::original_wording::in_original_wording;
use crate::reader::Entry;
use std::borrow::Cow;
use std::collections::BTreeMap;
use wingfold_director::checkpoint::CheckpointError;
use wingfold_director::interface::{Action, ClassMask, Event, SettingsError, TableId, Timestamp, ZoneId};
use wingfold_director::Director;

/// Why a capture, or a part of it, cannot be replayed at all.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unusable {
    /// Its first block is not a sound head.
    #[error("no head: {0}")]
    Head(Fault),
    /// Its settings are beyond all bounds.
    #[error("its settings cannot be a deployment's: {0}")]
    Settings(SettingsError),
    /// A checkpoint is refused.
    #[error("call {call}: {error}")]
    Checkpoint {
        /// The call after it.
        call: u64,
        /// Why.
        error: CheckpointError,
    },
    /// A call holds what cannot be.
    #[error("call {0} holds what no director is told")]
    Call(u64),
}

/// What differs at one call.
#[derive(Clone, Debug)]
pub struct Difference {
    /// The call.
    pub number: u64,
    /// Its time.
    pub at: Timestamp,
    /// What differs.
    pub what: What,
}

/// What differs.
#[derive(Clone, Debug)]
pub enum What {
    /// The answer.
    Actions {
        /// What the module was told.
        events: Vec<Event>,
        /// What it answered then.
        was: Vec<Action>,
        /// What it answers now.
        is: Vec<Action>,
    },
    /// The answer is the same and the tables are not: orders of an earlier call were not what tables hold.
    Tables {
        /// The number over all tables then.
        was: u64,
        /// And now.
        is: u64,
    },
    /// Tables and answers are the same, and the state written down is not.
    State,
}

/// What a replay has seen.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Calls replayed.
    pub calls: u64,
    /// Events in them.
    pub events: u64,
    /// Checkpoints whose state was compared with the replayed one.
    pub states: u64,
    /// Calls that could not be replayed: what they follow from is lost.
    pub skipped: u64,
    /// Calls that were not recorded.
    pub gaps: Vec<Gap>,
    /// What is wrong with the capture: segment, offset, fault.
    pub damage: Vec<(u64, usize, Fault)>,
    /// Builds that wrote it.
    pub builds: Vec<String>,
    /// Differences seen, only the first kept whole.
    pub differences: u64,
    /// Time replayed, in seconds.
    pub secs: f64,
    /// Time of the first and the last call.
    pub span: Option<(Timestamp, Timestamp)>,
}

/// How a replay goes on at a difference.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It has one answer to give: equal or not. The state is taken from each checkpoint.
    Strict,
    /// What would this build have done? The module runs on by its own state.
    Compare,
}

/// Replays what it is fed.
#[derive(Debug)]
pub struct Replayer {
    mode: Mode,
    head: Head,
    director: Option<Director>,
    next: u64,
    recorded: Mirror,
    replayed: Mirror,
    zones: BTreeMap<TableId, (ZoneId, ClassMask)>,
    apart: BTreeMap<TableId, Apart>,
    /// What it has seen.
    pub report: Report,
    /// The first difference.
    pub first: Option<Difference>,
    last: Timestamp,
    from: Timestamp,
    until: Timestamp,
    scratch: Vec<Action>,
}

impl Replayer {
    /// Nothing replayed yet.
    pub fn new(mode: Mode) -> Self {
        Replayer {
            mode,
            head: Head::default(),
            director: None,
            next: 0,
            recorded: Mirror::default(),
            replayed: Mirror::default(),
            zones: BTreeMap::new(),
            apart: BTreeMap::new(),
            report: Report::default(),
            first: None,
            last: Timestamp(0),
            from: Timestamp(0),
            until: Timestamp(u64::MAX),
            scratch: Vec::new(),
        }
    }

    /// Counts and compares only what lies in this span; what lies before it is run, since state follows from it.
    pub fn within(mut self, from: Timestamp, until: Timestamp) -> Self {
        (self.from, self.until) = (from, until);
        self
    }

    /// The module as it is after the last call that was replayed.
    pub fn director(&self) -> Option<&Director> {
        self.director.as_ref()
    }

    /// Whose capture it is.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// All asked for has been replayed.
    pub fn done(&self) -> bool {
        self.last > self.until
    }

    /// How far recorded and replayed tables were apart, by zone and classes, up to now.
    pub fn apart(&self) -> BTreeMap<(ZoneId, u64), Vec<(TableId, Apart)>> {
        let mut by: BTreeMap<(ZoneId, u64), Vec<(TableId, Apart)>> = BTreeMap::new();
        for (table, apart) in self.apart.iter().filter(|(_, apart)| apart.first.is_some()) {
            let mut apart = apart.clone();
            apart.end(self.last);
            let unknown = || (ZoneId("?".into()), ClassMask(0));
            let (zone, classes) = self.zones.get(table).cloned().unwrap_or_else(unknown);
            by.entry((zone, classes.0)).or_default().push((*table, apart));
        }
        by
    }

    /// Takes the next entry of a capture. Gives the call if it was replayed, with what the module answered now.
    pub fn feed(&mut self, entry: Entry) -> Result<Option<(Call, &[Action])>, Unusable> {
        match entry {
            Entry::Head(head) => {
                head.settings.validate().map_err(Unusable::Settings)?;
                if !self.report.builds.contains(&head.build) {
                    self.report.builds.push(head.build.clone());
                }
                if self.head.run != head.run || self.head.name != head.name {
                    self.director = None;
                }
                self.head = *head;
            }
            Entry::Checkpoint(head, bytes) => self.checkpoint(head, &bytes)?,
            Entry::Call(call) => {
                if self.director.is_none() || call.number != self.next || call.at > self.until {
                    self.report.skipped += u64::from(call.at <= self.until);
                    self.last = self.last.max(call.at);
                    // What follows does not follow from what is known.
                    self.director = self.director.take().filter(|_| call.number == self.next);
                    return Ok(None);
                }
                return self.call(call).map(Some);
            }
            Entry::Index(_) => {}
            Entry::Damage { offset, fault } => {
                self.report.damage.push((self.head.segment, offset, fault));
            }
        }
        Ok(None)
    }

    fn checkpoint(&mut self, head: CheckpointHead, bytes: &[u8]) -> Result<(), Unusable> {
        let call = head.call;
        let wrong = |error| Unusable::Checkpoint { call, error };
        self.report.gaps.extend(head.gap.filter(|_| head.at >= self.from));
        let follows = self.next == call;
        if let Some(director) = self.director.as_ref().filter(|_| follows) {
            self.report.states += 1;
            if self.report.differences == 0 && director.checkpoint() != bytes {
                self.differs(Difference { number: call, at: head.at, what: What::State });
            }
            if self.mode == Mode::Compare && self.report.differences > 0 {
                return Ok(());
            }
        }
        let director = Director::restore_for(bytes, &self.head.settings).map_err(wrong)?;
        self.recorded = Mirror::of(&director);
        self.replayed = self.recorded.clone();
        self.learn(&director);
        (self.director, self.next) = (Some(director), call);
        Ok(())
    }

    fn differs(&mut self, difference: Difference) {
        self.report.differences += 1;
        self.first.get_or_insert(difference);
    }

    fn learn(&mut self, director: &Director) {
        let views = director.table_views();
        self.zones.extend(views.into_iter().map(|view| (view.table, (view.zone, view.classes))));
    }

    fn call(&mut self, call: Call) -> Result<(Call, &[Action]), Unusable> {
        let Some(mut director) = self.director.take() else { return Err(Unusable::Call(call.number)) };
        if !sane(&call, &director) {
            return Err(Unusable::Call(call.number));
        }
        let mut is = std::mem::take(&mut self.scratch);
        is.clear();
        director.handle(call.at, &call.events, &mut is);
        (self.next, self.last) = (call.number + 1, call.at);
        let counts = call.at >= self.from;
        if counts {
            let begun = self.report.span.map_or(call.at, |span| span.0);
            self.report.span = Some((begun, call.at));
            self.report.secs = call.at.since(begun);
            self.report.calls += 1;
            self.report.events += call.events.len() as u64;
        }
        let comparable = match self.head.notice_wording {
            NoticeWording::Original => in_original_wording(&is),
            NoticeWording::KeyValue => Cow::Borrowed(&is[..]),
        };
        let (equal, digest) = (pack(&comparable) == call.actions, director.digest());
        if counts && (!equal || digest != call.digest) {
            let was = call.actions().unwrap_or_default();
            let what = match equal {
                true => What::Tables { was: call.digest, is: digest },
                false => What::Actions { events: call.events.clone(), was, is: comparable.into_owned() },
            };
            self.differs(Difference { number: call.number, at: call.at, what });
        }
        if self.mode == Mode::Compare {
            let was = call.actions().ok_or(Unusable::Call(call.number))?;
            let mut touched = self.recorded.apply(&was);
            let tables = self.zones.len();
            touched.extend(self.replayed.apply(&is));
            if counts && (self.report.differences > 0 || !equal) {
                if touched.iter().any(|table| !self.zones.contains_key(table)) || tables == 0 {
                    self.learn(&director);
                }
                for table in touched {
                    let none = Default::default();
                    let was = self.recorded.tables.get(&table).unwrap_or(&none);
                    let is = self.replayed.tables.get(&table).unwrap_or(&none);
                    self.apart.entry(table).or_default().look(call.at, was, is);
                }
            }
        }
        self.director = Some(director);
        self.scratch = is;
        Ok((call, &self.scratch))
    }
}

/// Whether a call can have been made: the door lets nothing else through, but a file may say anything.
fn sane(call: &Call, director: &Director) -> bool {
    const LATEST: u64 = u64::MAX / 4;
    let settings = director.settings();
    let fine = |figure: f64| figure.is_finite();
    let load = |load: &wingfold_director::interface::HostLoad| {
        [load.in_flight, load.queued, load.utilization, load.service_ms].into_iter().flatten().all(fine)
    };
    let count = |sums: &wingfold_director::interface::AttemptCounts| {
        sums.total < 1 << 40 && sums.failed < 1 << 40 && sums.period.0 <= LATEST
    };
    let zones = settings.zones.len() + 4096;
    call.at.0 <= LATEST
        && director.zone_count() <= zones
        && call.events.iter().all(|event| match event {
            Event::EndpointList { endpoints: entries, .. } => entries.iter().all(|entry| {
                fine(entry.weight) && entry.weight < 1e12 && entry.started_at.is_none_or(|at| at.0 <= LATEST)
            }),
            Event::HealthChecked { load: told, .. } => load(told),
            Event::ProxyConnected { proxy, requests_per_s: rate, .. } => {
                proxy.0 < settings.proxies.max(1) * 2 + 1024 && fine(*rate) && *rate < 1e12
            }
            Event::LoadReport { attempts: sums, mean_latency: mean, load: told, .. } => {
                count(sums) && mean.0 <= LATEST && load(told)
            }
            Event::Usage { class, requests: sums, .. } => {
                class.0 < settings.classes.len().max(1) && count(sums)
            }
            _ => true,
        })
}
