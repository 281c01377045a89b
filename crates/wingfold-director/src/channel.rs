//! Bookkeeping of the send queue that messages of a director share: how many lines wait there, by the answers of proxies to
//! the marks that messages carry.
use crate::interface::*;
use crate::state::Director;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Lines that were ordered and that no proxy's word shows to have left the channel: never less than what waits there,
/// however slow it is, since messages leave it one after the other.
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
    /// Lines of its own messages, by proxies that have not answered.
    pub(crate) lines: BTreeMap<ProxyId, f64>,
}

impl PendingMark {
    /// Lines that it speaks of and that are not known to have left.
    pub(crate) fn open(&self) -> f64 {
        self.before + self.lines.values().sum::<f64>()
    }
}

impl Channel {
    /// Books one answer's messages, counted as they were ordered; with `marked` each of them carries a mark of this
    /// answer's own.
    pub(crate) fn ordered(&mut self, now: Micros, messages: BTreeMap<ProxyId, f64>, marked: bool) {
        if marked {
            let before = std::mem::take(&mut self.unmarked);
            let (number, queued) = (self.number, self.queued);
            self.marks.push_back(PendingMark { number, at: now, before, queued, lines: messages });
        } else {
            self.unmarked += messages.values().sum::<f64>();
        }
    }

    /// A proxy has applied a mark: its message has left the channel, and all of earlier answers went before it. Gives
    /// what waited when it was ordered, up to its own message.
    pub(crate) fn answered(&mut self, now: Micros, proxy: ProxyId, number: u64) -> Option<f64> {
        let at = self.marks.iter().position(|mark| mark.number == number)?;
        let mut left: f64 = self.marks.drain(..at).map(|mark| mark.open()).sum();
        let mark = &mut self.marks[0];
        // Messages of one answer go in the order of their proxies.
        let behind: f64 = mark.lines.range(proxy..).skip(1).map(|(_, lines)| lines).sum();
        let waited = mark.queued - behind;
        left += std::mem::take(&mut mark.before) + mark.lines.remove(&proxy).unwrap_or(0.0);
        if mark.lines.is_empty() {
            self.marks.pop_front();
        }
        (self.queued, self.heard_at) = ((self.queued - left).max(0.0), now);
        Some(waited)
    }

    /// Counts the oldest mark's lines as gone, unanswered.
    pub(crate) fn give_up(&mut self, now: Micros) {
        let left = self.marks.pop_front().map_or(0.0, |mark| mark.open());
        (self.queued, self.heard_at) = ((self.queued - left).max(0.0), now);
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
