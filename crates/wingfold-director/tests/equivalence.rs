//! What is kept from one call to the next changes no action: a director answers bit by bit as one that works everything
//! out in full at each call.
mod common;
mod site;

use proptest::prelude::*;
use site::Site;
use wingfold_director::interface::*;
use wingfold_director::Director;

/// A director, and another that forgets before each call what it had worked out.
struct Pair {
    incremental: Director,
    reference: Director,
}

impl Pair {
    fn new(settings: &Settings, seed: u64) -> Pair {
        Pair {
            incremental: Director::new(settings.clone(), seed),
            reference: Director::new(settings.clone(), seed),
        }
    }

    /// Gives what both answer.
    fn handle(&mut self, now: u64, events: &[Event]) -> (Vec<Action>, Vec<Action>) {
        let (mut answer, mut expected) = (Vec::new(), Vec::new());
        self.incremental.handle(Micros(now), events, &mut answer);
        self.reference.forget_derived();
        self.reference.handle(Micros(now), events, &mut expected);
        (answer, expected)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, max_shrink_iters: 200, ..ProptestConfig::default() })]

    #[test]
    fn the_same_events_give_the_same_actions_bit_for_bit(
        kind in 0..120u32, seed in any::<u64>(), hosts in 3..40usize, proxies in 1..24u32, calls in 20..260usize,
    ) {
        let mut site = Site::new(kind, seed);
        let mut pair = Pair::new(&site.settings, seed);
        for call in 0..calls {
            let events = if call == 0 { site.begin(hosts, proxies) } else { site.events() };
            let (answer, expected) = pair.handle(site.step(), &events);
            // Debug shows floats shortest and exactly.
            prop_assert_eq!(format!("{answer:?}"), format!("{expected:?}"), "call {}", call);
            prop_assert_eq!(pair.incremental.digest(), pair.reference.digest());
            if call % 16 == 15 {
                let written = pair.incremental.checkpoint();
                prop_assert_eq!(&written, &pair.reference.checkpoint(), "state after call {}", call);
                if call % 64 == 63 {
                    pair.incremental = Director::restore(&written).expect("it was written down just now");
                }
            }
            site.note(&answer);
        }
    }
}
