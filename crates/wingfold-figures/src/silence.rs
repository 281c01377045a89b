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
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(secs: f64) -> Timestamp {
        Timestamp::from_secs(secs)
    }

    fn length(secs: f64) -> Micros {
        Micros::from_secs(secs)
    }

    /// News each second at a rate, up to a time.
    fn source(pieces: f64, until: f64) -> Silence {
        let mut one = Silence::new(at(0.0), length(1.0));
        for second in 1..=until as u32 {
            one.heard(at(f64::from(second)), pieces);
            assert_eq!(one.look(at(f64::from(second) + 0.5), Some(0.0), Signs::default()), State::Heard);
        }
        one
    }

    #[test]
    fn a_busy_place_that_stops_is_silent_and_a_calm_one_is_quiet() {
        let mut busy = source(20.0, 60.0);
        assert_eq!(busy.look(at(63.0), Some(0.0), Signs::default()), State::Heard, "not late yet");
        assert_eq!(busy.look(at(64.0), Some(0.0), Signs::default()), State::Silent);
        let mut calm = Silence::new(at(0.0), length(1.0));
        for second in (1..=60).step_by(15) {
            calm.heard(at(f64::from(second)), 1.0);
        }
        assert_eq!(
            calm.look(at(66.0), Some(0.0), Signs::default()),
            State::Quiet,
            "one in 15 s: chance explains it"
        );
        assert_eq!(
            calm.look(at(400.0), Some(0.0), Signs::default()),
            State::Silent,
            "for six minutes it does not"
        );
        assert!(calm.age(at(400.0)) > 300.0, "and its age rises");
    }

    #[test]
    fn a_night_that_grows_quiet_is_no_cut() {
        let mut hall = Silence::new(at(0.0), length(1.0));
        let mut now = 0.0;
        // Ever less, down to one piece in twenty seconds.
        for gap in [1.0, 2.0, 4.0, 8.0, 15.0, 20.0] {
            for _ in 0..8 {
                now += gap;
                hall.heard(at(now), 1.0);
                let state = hall.look(at(now + 0.9 * gap), Some(0.0), Signs::default());
                assert!(state <= State::Quiet, "a piece in {gap} s: {state:?}");
            }
        }
    }

    #[test]
    fn a_cut_is_told_from_a_dead_collector_and_stays_until_it_is_heard_again() {
        let cut = Signs { streams_broken: true, ..Signs::default() };
        let mut hall = source(20.0, 60.0);
        assert_eq!(hall.look(at(64.0), Some(0.0), cut), State::Cut);
        // The signs pass (nobody tries the hosts any more), the cut does not.
        assert_eq!(hall.look(at(90.0), Some(0.0), Signs::default()), State::Cut);
        hall.heard(at(91.0), 5.0);
        assert_eq!(
            hall.look(at(91.1), Some(0.0), Signs::default()),
            State::Cut,
            "one late piece is no return"
        );
        hall.heard(at(92.0), 5.0);
        assert_eq!(hall.look(at(92.1), Some(0.0), Signs::default()), State::Heard);
        let mut collector = source(20.0, 60.0);
        let others = Signs { others_speak: true, ..Signs::default() };
        assert_eq!(
            collector.look(at(64.0), Some(0.0), others),
            State::Silent,
            "its proxies speak: it is dead"
        );
        let idle = Signs { others_speak: true, idle: true, ..Signs::default() };
        let mut idle_class = source(20.0, 60.0);
        assert_eq!(idle_class.look(at(70.0), Some(0.0), idle), State::Quiet);
    }

    #[test]
    fn where_nothing_is_due_nothing_is_missed() {
        let mut hall = source(20.0, 60.0);
        let gone = Signs { streams_broken: true, ..Signs::default() };
        assert_eq!(hall.look(at(100.0), None, gone), State::Quiet, "its proxies went to another director");
        let cut = Signs { hosts_beyond: true, ..gone };
        assert_eq!(hall.look(at(101.0), None, cut), State::Cut, "they went, and its hosts are out of reach");
        let mut never = Silence::new(at(0.0), length(1.0));
        assert_eq!(never.look(at(2.0), Some(20.0), Signs::default()), State::Heard, "not due yet");
        assert_eq!(never.look(at(9.0), Some(20.0), Signs::default()), State::Silent, "due and never heard");
        assert!(!never.known());
        let mut idle = Silence::new(at(0.0), length(1.0));
        assert_eq!(
            idle.look(at(60.0), Some(0.01), Signs::default()),
            State::Quiet,
            "proxies without traffic"
        );
    }

    #[test]
    fn lag_begins_with_a_gap_and_ends_when_more_than_usual_comes_at_once() {
        let mut lag = Lag::new(length(1.0));
        let told = |lag: &mut Lag, now: f64, second: u32| {
            // Host 1 has tries in some periods only; some sums come later than others.
            for (number, after) in [(0, 0.0), (2, 0.1), (3, 0.2), (1, 0.5)] {
                if number != 1 || second.is_multiple_of(3) {
                    lag.heard(at(now + after), 9.0);
                }
            }
        };
        for second in 1..200 {
            told(&mut lag, f64::from(second) + 0.4, second);
        }
        assert!(lag.secs() < 1.2, "{}", lag.secs());
        // From then on everything comes three seconds later.
        for second in 200..215 {
            told(&mut lag, f64::from(second) + 3.4, second);
        }
        assert!((1.7..=3.8).contains(&lag.secs()), "{}", lag.secs());
        // It catches up: what is due comes at once.
        for second in 215..219 {
            told(&mut lag, 218.4, second);
        }
        for second in 219..224 {
            told(&mut lag, f64::from(second) + 0.4, second);
        }
        assert!(lag.secs() < 1.2, "{}", lag.secs());
        // A cut of half a minute is no lag: what it held back is lost.
        for second in 254..260 {
            told(&mut lag, f64::from(second) + 0.4, second);
        }
        assert!(lag.secs() < 1.2, "{}", lag.secs());
    }

    proptest! {
        #[test]
        fn whatever_comes_states_follow_their_rules(steps in prop::collection::vec((0.01..20.0f64, 0.0..30.0f64, any::<[bool; 6]>()), 1..60)) {
            let (mut one, mut now) = (Silence::new(at(0.0), length(1.0)), 0.0);
            for (step, pieces, [hears, due, others_speak, idle, streams_broken, hosts_beyond]) in steps {
                now += step;
                if hears {
                    one.heard(at(now), pieces);
                }
                let age = one.age(at(now));
                let due = due.then_some(2.0);
                let state = one.look(at(now), due, Signs { others_speak, idle, streams_broken, hosts_beyond });
                prop_assert!(age >= 0.0 && (age <= 3.5 || state != State::Heard), "late is never heard");
                prop_assert!(!(others_speak && idle) || age <= 3.5 || state == State::Quiet);
                if others_speak && age > 3.5 {
                    prop_assert!(state != State::Cut, "what speaks is not cut off");
                }
            }
        }
    }
}
