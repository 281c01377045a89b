//! The five rules, checked from outside as a site would feel them.

use wingfold_director::interface::Micros;

/// How near a run came to each limit: 1 is the limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Margins {
    /// The longest time that a joined proxy lacked a line while it should have had one, of what is allowed.
    pub bare: f64,
    /// Effects that ran twice and must not; any is one too many.
    pub twice: u64,
    /// The latest send to a host that drains or is gone, of the grace.
    pub drain: f64,
    /// The most work brought to a cold host, of what makes it fall over.
    pub cold: f64,
    /// Most lines that waited in a channel, of what may.
    pub queue: f64,
}

impl Margins {
    /// The rules that were broken, in words.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let mut over = |part: f64, what: &str| {
            if part > 1.0 {
                broken.push(format!("{what}: {:.0} % of the limit", 100.0 * part));
            }
        };
        over(self.bare, "a proxy was left without a host");
        over(self.drain, "requests went to a host that drains or is gone");
        over(self.cold, "a cold host was pushed over");
        over(self.queue, "too many lines waited in a channel");
        if self.twice > 0 {
            broken.push(format!("{} effects ran twice", self.twice));
        }
        broken
    }

    /// Keeps the larger of both for each rule, and adds the effects that ran twice.
    pub fn merge(&mut self, other: &Margins) {
        self.bare = self.bare.max(other.bare);
        self.twice += other.twice;
        self.drain = self.drain.max(other.drain);
        self.cold = self.cold.max(other.cold);
        self.queue = self.queue.max(other.queue);
    }
}

/// A time as a share of its limit.
pub fn share_of_limit(time: f64, limit: Micros) -> f64 {
    time / limit.secs().max(1e-6)
}
