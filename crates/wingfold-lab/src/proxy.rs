//! One proxy: picks by weight, shuns what fails it, lets in what its level says, and counts for the reports.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use wingfold_director::interface::{Micros, Retry};

/// Weights by host, as a table's lines.
pub type Lines = Arc<Vec<(usize, f64)>>;

/// What a proxy goes by for one class.
#[derive(Clone, Debug)]
pub struct Rule {
    pub lines: Lines,
    pub level: f64,
    pub retry: Retry,
}

/// Tries at a host since the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Met {
    pub tries: u64,
    pub lost: u64,
    pub ms: f64,
}

#[derive(Clone, Debug)]
pub struct Proxy {
    pub zone: usize,
    pub rate: f64,
    /// Counts changes of its traffic: a request drawn before does not come.
    pub asks: u32,
    /// The director it is joined to, and since when.
    pub director: Option<usize>,
    pub joined_at: Micros,
    /// Counts its streams: orders sent on an earlier one do not arrive.
    pub stream: u32,
    pub rules: Vec<Rule>,
    /// Failures in a row, and until when a host is shunned.
    rows: BTreeMap<usize, u32>,
    shunned: BTreeMap<usize, Micros>,
    pub met: BTreeMap<usize, Met>,
    pub usage: Vec<(u64, u64)>,
    /// Since when it has had no line for a class.
    pub bare: Vec<Option<Micros>>,
    /// Tokens for levels that are rates.
    tokens: Vec<(f64, Micros)>,
}

impl Proxy {
    pub fn new(zone: usize, rate: f64, lines: Lines, classes: usize) -> Proxy {
        let rule = Rule { lines, level: 1.0, retry: Retry::OnProof };
        Proxy {
            zone,
            rate,
            asks: 0,
            director: None,
            joined_at: Micros(0),
            stream: 0,
            rules: vec![rule; classes],
            rows: BTreeMap::new(),
            shunned: BTreeMap::new(),
            met: BTreeMap::new(),
            usage: vec![(0, 0); classes],
            bare: vec![None; classes],
            tokens: vec![(1.0, Micros(0)); classes],
        }
    }

    /// A host for a request, by weight among those it does not shun; among all if it shuns them all.
    pub fn pick(
        &self,
        now: Micros,
        class: usize,
        not: Option<usize>,
        chance: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let lines = &self.rules[class].lines;
        let usable =
            |host: &usize| Some(*host) != not && self.shunned.get(host).is_none_or(|until| now >= *until);
        let draw = |usable: &dyn Fn(&usize) -> bool, chance: &mut ChaCha8Rng| {
            let total: f64 = lines.iter().filter(|line| usable(&line.0)).map(|line| line.1).sum();
            let mut left = chance.random::<f64>() * total;
            let mut open = lines.iter().filter(|line| usable(&line.0));
            open.find(|line| {
                left -= line.1;
                left <= 0.0
            })
            .map(|line| line.0)
        };
        draw(&usable, chance).or_else(|| draw(&|_| true, chance))
    }

    /// Whether a request of the class is let in.
    pub fn admits(&mut self, now: Micros, class: usize, rates: bool, chance: &mut ChaCha8Rng) -> bool {
        let level = self.rules[class].level;
        if !rates {
            return level >= 1.0 || chance.random::<f64>() < level;
        }
        let (tokens, at) = &mut self.tokens[class];
        *tokens = (*tokens + level * now.since(*at)).min(level.max(1.0));
        *at = now;
        let admits = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(admits));
        admits
    }

    /// Counts a try's end; a host that failed it `ejects` times in a row is shunned for a while.
    pub fn count(&mut self, now: Micros, host: usize, good_ms: Option<f64>, ejects: u32, shun: Micros) {
        let met = self.met.entry(host).or_default();
        met.tries += 1;
        match good_ms {
            Some(ms) => {
                met.ms += ms;
                self.rows.remove(&host);
            }
            None => {
                met.lost += 1;
                let row = self.rows.entry(host).or_default();
                *row += 1;
                if ejects > 0 && *row >= ejects {
                    *row = 0;
                    self.shunned.insert(host, Micros(now.0 + shun.0));
                }
            }
        }
    }
}
