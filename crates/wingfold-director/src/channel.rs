//! Bookkeeping of the send queue that messages of a director share: how many lines wait there, by the answers of proxies to
//! the marks that messages carry.
use crate::interface::*;
use crate::state::{Director, Proxy};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Lines that were ordered and that no proxy's answer shows to have left the channel: no less than what waits there, however
/// slow it is, since messages leave it one after the other. Only marks that are given up may make it less.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Channel {
    /// All of them, those of the present answer too.
    pub(crate) queued: f64,
    /// Those ordered since the last mark.
    pub(crate) unmarked: f64,
    /// Marks that some proxies have not answered, oldest first, and the number of the last.
    pub(crate) marks: VecDeque<PendingMark>,
    pub(crate) number: u64,
    /// When a mark was last answered.
    pub(crate) heard_at: Micros,
    /// Lines a second that it sends, as far as answers show; 0: none has shown it.
    pub(crate) pace: f64,
    /// Marks given up since the last answer.
    pub(crate) given_up: u32,
    /// Lines of all answers of the module up to the last marked one, since the start.
    pub(crate) total: f64,
    /// When the present measurement of the pace began, and how many of all lines had left by then.
    pub(crate) measured_at: Micros,
    pub(crate) measured_from: f64,
    /// Lines a second by the last measurement; 0: messages leave too soon for one.
    pub(crate) measured_pace: f64,
}

/// One answer's messages, each with a mark that its proxy answers once it has applied it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct PendingMark {
    pub(crate) number: u64,
    pub(crate) at: Micros,
    /// Lines of the answers between the mark before and this one, and all that waited with its own.
    pub(crate) before: f64,
    pub(crate) queued: f64,
    /// Lines of all answers of the module up to this one, since the start.
    pub(crate) total: f64,
    /// Lines of its own messages, by proxies that have not answered.
    pub(crate) lines: BTreeMap<ProxyId, f64>,
}

/// How long nothing was heard of the oldest mark.
pub(crate) struct Silence {
    pub(crate) secs: f64,
    /// Time that its lines take to leave, at the pace last measured.
    pub(crate) leave_s: f64,
    /// Proxies answered until now, and one that can still answer is there.
    pub(crate) expected: bool,
}

impl PendingMark {
    /// Lines that it speaks of and that are not known to have left.
    pub(crate) fn open(&self) -> f64 {
        self.before + self.lines.values().sum::<f64>()
    }

    /// Whether a proxy that has not answered still has the stream that the mark went to.
    fn answerable(&self, proxies: &BTreeMap<ProxyId, Proxy>) -> bool {
        let same_stream = |id| proxies.get(id).is_some_and(|proxy| proxy.joined <= self.at);
        self.lines.keys().any(same_stream)
    }
}

impl Channel {
    /// Books one answer's messages, counted as they were ordered; with `marked` each of them carries a mark of this
    /// answer's own.
    pub(crate) fn ordered(&mut self, now: Micros, messages: BTreeMap<ProxyId, f64>, marked: bool) {
        if marked {
            let before = std::mem::take(&mut self.unmarked);
            self.total += before + messages.values().sum::<f64>();
            let (number, queued, total) = (self.number, self.queued, self.total);
            self.marks.push_back(PendingMark { number, at: now, before, queued, total, lines: messages });
        } else {
            self.unmarked += messages.values().sum::<f64>();
        }
    }

    /// A proxy has applied a mark: its message has left the channel, and all of earlier answers went before it. Gives
    /// what waited when it was ordered, up to its own message. A measurement of the pace takes at least `span` seconds.
    pub(crate) fn answered(&mut self, now: Micros, proxy: ProxyId, number: u64, span: f64) -> Option<f64> {
        let at = self.marks.iter().position(|mark| mark.number == number)?;
        let mut left: f64 = self.marks.drain(..at).map(|mark| mark.open()).sum();
        let mark = &mut self.marks[0];
        // Messages of one answer go in the order of their proxies.
        let behind: f64 = mark.lines.range(proxy..).skip(1).map(|(_, lines)| lines).sum();
        let (waited, ordered_at, reached) = (mark.queued - behind, mark.at, mark.total - behind);
        left += std::mem::take(&mut mark.before) + mark.lines.remove(&proxy).unwrap_or(0.0);
        if mark.lines.is_empty() {
            self.marks.pop_front();
        }
        self.left(left, now);
        self.given_up = 0;
        self.measure(now, ordered_at, reached, span);
        Some(waited)
    }

    /// Measures the pace from answer to answer, as long as the channel is never empty: of all lines `reached` have left.
    fn measure(&mut self, now: Micros, ordered_at: Micros, reached: f64, span: f64) {
        let secs = now.since(self.measured_at);
        let never_empty = ordered_at <= self.measured_at;
        // A proxy may answer late, after others that were sent more.
        if reached <= self.measured_from || never_empty && secs <= span {
            return;
        }
        self.measured_pace = if never_empty { (reached - self.measured_from) / secs } else { 0.0 };
        (self.measured_at, self.measured_from) = (now, reached);
    }

    /// How long nothing was heard of the oldest mark, if there is one. Where no pace is measured the `usual` one counts.
    pub(crate) fn silence(
        &self,
        now: Micros,
        proxies: &BTreeMap<ProxyId, Proxy>,
        usual: f64,
    ) -> Option<Silence> {
        let mark = self.marks.front()?;
        let pace = if self.measured_pace > 0.0 { usual.min(self.measured_pace) } else { usual };
        let answers_come = self.heard_at > Micros(0) && self.given_up == 0;
        Some(Silence {
            secs: now.since(self.heard_at.max(mark.at)),
            leave_s: mark.open() / pace,
            expected: answers_come && self.marks.iter().any(|mark| mark.answerable(proxies)),
        })
    }

    /// Counts the oldest mark's lines as gone, unanswered. The last measurement counts for less each time: answers may never
    /// come again.
    pub(crate) fn give_up(&mut self, now: Micros) {
        let left = self.marks.pop_front().map_or(0.0, |mark| mark.open());
        self.left(left, now);
        self.given_up = self.given_up.saturating_add(1);
        self.measured_pace *= 2.0;
    }

    fn left(&mut self, lines: f64, now: Micros) {
        (self.queued, self.heard_at) = ((self.queued - lines).max(0.0), now);
    }
}

impl Director {
    /// Lines a second that the channel sends at present.
    pub(crate) fn pace(&self) -> f64 {
        match self.channel.pace > 0.0 {
            true => self.channel.pace,
            false => self.set.lines_per_s,
        }
    }
}

impl Director {
    /// Books the messages of one answer, with a mark in each once more than `most` lines have gone without one.
    pub(crate) fn close_answer(&mut self, most: f64, out: &mut Vec<Action>) {
        let sending = std::mem::take(&mut self.sending);
        let unmarked = self.channel.unmarked + sending.values().sum::<f64>();
        let marked = unmarked > most && !sending.is_empty();
        if marked {
            self.channel.number = (self.channel.number + 1) % 65_536;
            out.push(Action::Mark(false, self.channel.number));
        }
        self.channel.ordered(self.now, sending, marked);
    }
}
