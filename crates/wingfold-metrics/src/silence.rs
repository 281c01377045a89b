//! Silence is a figure: what it means that nothing is heard. Worked out from what is due, never from numbers that are
//! missing: a hall that is cut off must not look like a quiet night.

use wingfold_director::interface::{Micros, Timestamp};

/// What is known of a source of news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// News came when it was due.
    #[default]
    Heard,
    /// Nothing came, and chance explains it: next to nothing happened there, or others of it still speak.
    Quiet,
    /// News is due and does not come.
    Silent,
    /// News is due, does not come, and there are signs of a cut.
    Cut,
}

impl State {
    /// As it is sent.
    pub fn number(self) -> f64 {
        f64::from(self as u8)
    }

    /// As it is shown.
    pub fn name(self) -> &'static str {
        ["heard", "quiet", "silent", "cut"][self as usize]
    }
}

/// News is late after so many periods of the reports: sums travel for one or two.
const LATE_PERIODS: f64 = 3.5;
/// So many expected pieces of news that did not come are no chance any more: it leaves one in 20,000, and a quiet place has
/// a gap every few seconds. Seven were too few: one quiet hall in five looked silent once in 100 s.
const EXPECTED: f64 = 10.0;
/// The usual rate of news is what was heard over about so long.
const MEMORY_S: f64 = 20.0;
/// A source that was silent or cut is heard again after so much news: a single late datagram is no return.
const RETURN: u32 = 2;

/// Signs of what stands behind a silence.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signs {
    /// Something else of the same place still speaks: its proxies' streams, its collector.
    pub others_speak: bool,
    /// Those who would tell say that there was nothing to tell: the class's proxies told of other classes only.
    pub idle: bool,
    /// Most of the place's streams broke a short while ago and did not come back.
    pub streams_broken: bool,
    /// Nothing that others try at the place's hosts comes back.
    pub hosts_beyond: bool,
}

/// One source of news: a zone's sums, a class's usage, a collector.
#[derive(Clone, Debug, PartialEq)]
pub struct Silence {
    period_s: f64,
    state: State,
    /// When it was last heard; `None`: never in this life.
    last: Option<Timestamp>,
    /// When it was first known of: what was never heard is late from then on.
    since: Timestamp,
    /// Pieces of news a second as usual, faded, and when that was worked out.
    rate: f64,
    at: Timestamp,
    returned: u32,
}

impl Silence {
    /// A source that is known from now on, and reports so often.
    pub fn new(now: Timestamp, period: Micros) -> Self {
        let period_s = period.secs().max(0.05);
        Silence { period_s, state: State::Heard, last: None, since: now, rate: 0.0, at: now, returned: 0 }
    }

    /// So many pieces of news came.
    pub fn heard(&mut self, now: Timestamp, pieces: f64) {
        self.fade(now);
        self.rate += pieces / MEMORY_S;
        self.last = Some(now);
        self.returned += 1;
    }

    /// Rates fade only when news comes: a silence must not explain itself by growing usual.
    fn fade(&mut self, now: Timestamp) {
        self.rate *= (-now.since(self.at) / MEMORY_S).exp();
        self.at = now;
    }

    /// Since it was last heard, in seconds; since it was known of, if it never was.
    pub fn age(&self, now: Timestamp) -> f64 {
        now.since(self.last.unwrap_or(self.since))
    }

    /// Whether anything was ever heard of it in this life: else there is nothing to send.
    pub fn known(&self) -> bool {
        self.last.is_some()
    }

    /// What its silence means now. `due` is how many pieces a second are to be expected by who is joined, where nothing
    /// was heard yet; `None`: nobody is there to tell anything.
    pub fn look(&mut self, now: Timestamp, due: Option<f64>, signs: Signs) -> State {
        let age = self.age(now);
        let late = age > LATE_PERIODS * self.period_s;
        let was = self.state;
        let rate = if self.known() { self.rate } else { due.unwrap_or(0.0) };
        // What should have come meanwhile, at the rate that was usual when it was last heard.
        let missed = (age - self.period_s).max(0.0) * rate >= EXPECTED;
        let cut = signs.streams_broken && signs.hosts_beyond
            || due.is_some() && (signs.streams_broken || signs.hosts_beyond);
        self.state = if !late {
            // Once silent, one piece of news is not yet a return.
            match was {
                State::Silent | State::Cut if self.returned < RETURN => was,
                _ => State::Heard,
            }
        } else if signs.others_speak {
            if missed && !signs.idle && due.is_some() {
                State::Silent
            } else {
                State::Quiet
            }
        } else if cut && (missed || was >= State::Silent) {
            State::Cut
        } else if was == State::Cut {
            // The signs pass, since nobody tries what is out of reach; the cut does not.
            State::Cut
        } else if due.is_none() {
            State::Quiet
        } else if missed || was == State::Silent {
            State::Silent
        } else {
            State::Quiet
        };
        if late {
            self.returned = 0;
        }
        self.state
    }

    /// What it was when last looked at.
    pub fn state(&self) -> State {
        self.state
    }
}

/// How far behind its usual time a zone's news is. Sums carry no time; but where a place that always has news has none for
/// some periods and then goes on as usual, all that follows is so much late, until more than usual comes at once. What is
/// late by less than two periods is not told from unevenness.
#[derive(Clone, Debug, PartialEq)]
pub struct Lag {
    period_s: f64,
    /// The present period of the clock: its beginning, and what was told in it: sums, and tries.
    began: Option<f64>,
    told: (f64, f64),
    /// Both in a period, as usual.
    usual: (f64, f64),
    /// Sums of the two periods before: what comes evenly may fall into periods unevenly.
    before: [f64; 2],
    /// Periods in a row that had next to none.
    low: f64,
    behind: f64,
}

/// What stood still for longer was lost, not late.
const LOST_S: f64 = 10.0;
/// A lag that nothing ends is taken for the new habit over about so long.
const HABIT_S: f64 = 120.0;
/// So many times the usual sums in three periods are more than three turns.
const AT_ONCE: f64 = 4.4;
/// A period with less than this share of the usual sums counts as one without.
const FEW: f64 = 0.25;

impl Lag {
    /// For sums of this period.
    pub fn new(period: Micros) -> Self {
        Lag {
            period_s: period.secs().max(0.05),
            began: None,
            told: (0.0, 0.0),
            usual: (0.0, 0.0),
            before: [0.0; 2],
            low: 0.0,
            behind: 0.0,
        }
    }

    /// A sum came that tells of so many tries.
    pub fn heard(&mut self, now: Timestamp, tries: f64) {
        let now = now.secs();
        let began = *self.began.get_or_insert(now);
        let passed = ((now - began) / self.period_s).floor();
        if passed >= 1.0 {
            self.close(passed);
            self.began = Some(began + passed * self.period_s);
        }
        self.told = (self.told.0 + 1.0, self.told.1 + tries);
    }

    /// The present period has ended, and some after it in which nothing came.
    fn close(&mut self, passed: f64) {
        let (sums, tries) = std::mem::take(&mut self.told);
        let empty = passed - 1.0;
        // Where little happens, a period without news is nothing late.
        let busy = self.usual.1 >= EXPECTED;
        self.behind *= (-passed * self.period_s / HABIT_S).exp();
        // A few that were overtaken may still come in where all others are missing.
        if busy && sums < FEW * self.usual.0 {
            self.low += passed;
        } else {
            if busy && self.low >= 2.0 && self.low * self.period_s <= LOST_S {
                self.behind += self.low;
            } else if self.low * self.period_s > LOST_S {
                self.behind = 0.0;
            }
            self.low = empty;
        }
        let three = (self.before[0] + self.before[1] + sums) / self.usual.0.max(1.0);
        self.before = if empty > 0.0 { [0.0; 2] } else { [self.before[1], sums] };
        if busy && three >= AT_ONCE {
            self.behind = (self.behind - (three - 3.0).round()).max(0.0);
            self.before = [0.0; 2];
        }
        let first = self.usual == (0.0, 0.0);
        let follow = if first { 1.0 } else { 1.0 - (-self.period_s / MEMORY_S).exp() };
        self.usual.0 += (sums - self.usual.0) * follow;
        self.usual.1 += (tries - self.usual.1) * follow;
    }

    /// Seconds that the last news was later than usual.
    pub fn secs(&self) -> f64 {
        self.behind * self.period_s
    }
}

#[cfg(test)]
mod tests;
