//! Applies updates to a model of a proxy, and compares the state of the model with the tables.

use super::*;
use crate::frame;
use crate::message::{encode, Outbound, TableEntry};
use wingfold_director::interface::Retry;
use wingfold_settings::retry_code;

/// The state of a proxy that applies updates as the protocol describes.
#[derive(Clone, Debug, Default)]
struct ModelProxy {
    tables: Vec<BTreeMap<Arc<str>, f64>>,
    admission: Vec<Option<AdmissionLevel>>,
    ejected: BTreeSet<Arc<str>>,
    barriers: Vec<u64>,
    messages: usize,
}

impl ModelProxy {
    /// A proxy that has a table of one host when it connects.
    fn new(classes: usize) -> Self {
        let initial = BTreeMap::from([(Arc::from("initial"), 1.0)]);
        ModelProxy { tables: vec![initial; classes], admission: vec![None; classes], ..ModelProxy::default() }
    }

    fn apply(&mut self, names: &[Arc<str>], update: &ProxyUpdate) {
        self.messages += 1;
        assert!(!update.parts.is_empty() && update.parts.len() <= 64);
        for (index, part) in update.parts.iter().enumerate() {
            assert_eq!(
                part.has_more_parts,
                index + 1 < update.parts.len(),
                "all parts but the last are marked as having more parts after them"
            );
            assert!(encode(&Outbound::ProxyUpdatePart(part.clone())).len() <= frame::MAX_FRAME_BYTES);
            let position = |name| names.iter().position(|n| n == name).expect("a class of the settings");
            let named: Vec<usize> = part.classes.iter().map(position).collect();
            let classes = if named.is_empty() { (0..names.len()).collect() } else { named };
            for class in classes {
                if part.complete {
                    self.tables[class].clear();
                    self.admission[class] = None;
                }
                for TableEntry { host, weight } in &part.entries {
                    if *weight > 0.0 {
                        self.tables[class].insert(host.clone(), *weight);
                    } else {
                        assert!(!part.complete && self.tables[class].remove(host).is_some());
                    }
                }
                if let Some(admission) = part.admission {
                    assert!(retry_code(admission.retry) <= 3 && admission.level >= 0.0);
                    self.admission[class] = Some(admission);
                }
            }
            self.ejected.extend(part.ejected.iter().cloned());
            self.ejected.retain(|host| !part.restored.contains(host));
            self.barriers.extend(part.barrier);
        }
    }
}

fn host(name: &str) -> HostId {
    HostId(Arc::from(name))
}

fn entry(table: u32, name: &str, weight: f64) -> Action {
    Action::SetEntry { table: TableId(table), host: host(name), weight }
}

fn assign(proxy: u32, table: u32, mask: u64) -> Action {
    Action::AssignTable { proxy: ProxyId(proxy), table: TableId(table), classes: ClassMask(mask) }
}

fn set_admission(table: Option<u32>, mask: u64, level: f64, retry: Retry) -> Action {
    Action::SetAdmission { table: table.map(TableId), classes: ClassMask(mask), level, retry }
}

/// Tables of the classes `x` and `y`, with these proxies connected.
fn two_classes(proxies: &[u32]) -> Tables {
    let mut tables = Tables::new(&["x".into(), "y".into()]);
    proxies.iter().for_each(|proxy| tables.proxy_connected(ProxyId(*proxy)));
    tables
}

fn single_update(mut updates: Vec<ProxyUpdate>) -> ProxyUpdate {
    assert_eq!(updates.len(), 1, "{updates:?}");
    updates.remove(0)
}

#[test]
fn an_assignment_sends_the_complete_table_with_its_levels() {
    let mut tables = two_classes(&[7, 8]);
    let setup = [entry(1, "h1", 1.0), entry(1, "h2", 0.5), set_admission(Some(1), 0, 9.0, Retry::OnProof)];
    assert_eq!(tables.apply(&setup), [], "no proxy is assigned to the table yet");
    let update = single_update(tables.apply(&[assign(7, 1, 0)]));
    assert_eq!((update.proxy, update.parts.len(), update.queue_lines()), (ProxyId(7), 1, 4));
    let part = &update.parts[0];
    assert!(
        part.complete
            && part.classes.is_empty()
            && part.admission == Some(AdmissionLevel { level: 9.0, retry: Retry::OnProof })
    );
    // Levels that differ by class are sent in parts of their own.
    let level_and_assignment = [set_admission(Some(1), 1, 2.0, Retry::OnProof), assign(8, 1, 0)];
    let updates = tables.apply(&level_and_assignment);
    assert_eq!(
        updates
            .iter()
            .map(|update| (update.proxy.0, update.parts.len(), update.queue_lines()))
            .collect::<Vec<_>>(),
        [(7, 1, 1), (8, 3, 5)]
    );
    assert_eq!(updates[1].parts[1].classes, [Arc::from("x")]);
    assert!(
        updates[1].parts[0].has_more_parts
            && updates[1].parts[1].has_more_parts
            && !updates[1].parts[2].has_more_parts
    );
}

#[test]
fn changed_entries_are_sent_only_to_assigned_proxies() {
    let mut tables = two_classes(&[1, 2, 3]);
    let setup = [entry(1, "h1", 1.0), entry(2, "h1", 1.0), assign(1, 1, 0), assign(2, 2, 0), assign(3, 1, 0)];
    tables.apply(&setup);
    let change = [entry(1, "h2", 0.5), entry(1, "h1", 0.0), entry(1, "h3", 2.0), entry(1, "h3", 0.0)];
    let updates = tables.apply(&change);
    assert_eq!(updates.iter().map(|update| update.proxy.0).collect::<Vec<_>>(), [1, 3]);
    let entries = vec![
        TableEntry { host: Arc::from("h1"), weight: 0.0 },
        TableEntry { host: Arc::from("h2"), weight: 0.5 },
    ];
    assert_eq!(updates[0].parts, [ProxyUpdatePart { entries, ..ProxyUpdatePart::default() }]);
    assert_eq!(tables.apply(&[entry(1, "h2", 0.5)]), [], "nothing differs");
}

#[test]
fn a_cleared_table_is_sent_complete_with_the_global_level() {
    let mut tables = two_classes(&[1]);
    let setup = [
        entry(1, "h1", 1.0),
        set_admission(Some(1), 1, 5.0, Retry::Once),
        assign(1, 1, 0),
        set_admission(None, 3, 8.0, Retry::Never),
    ];
    tables.apply(&setup);
    let cleared = [Action::ClearTable(TableId(1)), entry(1, "h2", 1.0)];
    let update = single_update(tables.apply(&cleared));
    assert_eq!(update.parts.len(), 1);
    assert!(update.parts[0].complete && update.parts[0].entries.len() == 1);
    assert_eq!(
        update.parts[0].admission,
        Some(AdmissionLevel { level: 8.0, retry: Retry::Never }),
        "clearing a table resets its own level"
    );
}

#[test]
fn the_lower_level_applies_with_the_retry_policy_of_the_table() {
    let mut tables = two_classes(&[1, 2]);
    tables.apply(&[entry(1, "h1", 1.0), set_admission(Some(1), 1, 5.0, Retry::OnProof), assign(1, 1, 0)]);
    let updates = tables.apply(&[set_admission(None, 1, 3.0, Retry::Twice)]);
    let proxy_and_admission = |update: &ProxyUpdate| (update.proxy.0, update.parts[0].admission);
    assert_eq!(
        proxy_and_admission(&updates[0]),
        (1, Some(AdmissionLevel { level: 3.0, retry: Retry::OnProof }))
    );
    assert_eq!(
        proxy_and_admission(&updates[1]),
        (2, Some(AdmissionLevel { level: 3.0, retry: Retry::Twice })),
        "the proxy is not assigned to a table yet"
    );
    let update = single_update(tables.apply(&[set_admission(Some(1), 1, 1.0, Retry::OnProof)]));
    assert_eq!(proxy_and_admission(&update), (1, Some(AdmissionLevel { level: 1.0, retry: Retry::OnProof })));
}

#[test]
fn a_new_stream_is_sent_hosts_restored_since_an_earlier_one() {
    let mut tables = two_classes(&[1]);
    tables.apply(&[entry(1, "h1", 1.0), entry(1, "h2", 1.0), assign(1, 1, 0)]);
    let update = single_update(tables.apply(&[Action::SetEjected { host: host("h1"), ejected: true }]));
    assert_eq!((update.parts[0].ejected.clone(), update.queue_lines()), (vec![Arc::from("h1")], 1));
    assert_eq!(
        tables.apply(&[Action::SetEjected { host: host("elsewhere"), ejected: true }]),
        [],
        "the host is in none of the proxy's tables"
    );
    tables.proxy_disconnected(ProxyId(1));
    assert_eq!(
        tables.apply(&[Action::SetEjected { host: host("h1"), ejected: false }]),
        [],
        "the proxy has no stream"
    );
    tables.proxy_connected(ProxyId(1));
    let update = single_update(tables.apply(&[assign(1, 1, 0)]));
    assert_eq!(
        update.parts[0].restored,
        [Arc::from("h1")],
        "the proxy has kept the host as ejected across streams"
    );
}

#[test]
fn a_barrier_is_added_to_an_update_or_sent_to_all_proxies() {
    let mut tables = two_classes(&[1, 2]);
    let first = [entry(1, "h1", 1.0), assign(1, 1, 0), Action::Barrier { all_proxies: false, number: 4 }];
    let update = single_update(tables.apply(&first));
    assert_eq!((update.parts[0].barrier, update.queue_lines()), (Some(4), 3));
    let updates = tables.apply(&[
        Action::Barrier { all_proxies: true, number: 5 },
        Action::Barrier { all_proxies: true, number: 6 },
    ]);
    let barriers =
        |update: &ProxyUpdate| update.parts.iter().filter_map(|part| part.barrier).collect::<Vec<_>>();
    assert_eq!(updates.iter().map(barriers).collect::<Vec<_>>(), [[5, 6], [5, 6]]);
}

#[test]
fn a_barrier_is_acknowledged_once_and_only_on_its_own_stream() {
    let mut tables = two_classes(&[1, 2]);
    tables.apply(&[entry(1, "h1", 1.0), assign(1, 1, 0), assign(2, 1, 0)]);
    tables.apply(&[Action::Barrier { all_proxies: true, number: 5 }]);
    tables.apply(&[Action::Barrier { all_proxies: true, number: 7 }]);
    assert!(
        !tables.acknowledge(ProxyId(1), 6) && !tables.acknowledge(ProxyId(3), 7),
        "no such barrier was sent to the proxy"
    );
    assert!(tables.acknowledge(ProxyId(1), 7), "also acknowledges the barriers sent before");
    assert!(!tables.acknowledge(ProxyId(1), 7) && !tables.acknowledge(ProxyId(1), 5), "acknowledged before");
    tables.proxy_disconnected(ProxyId(2));
    tables.proxy_connected(ProxyId(2));
    assert!(!tables.acknowledge(ProxyId(2), 5), "barrier 5 was sent on an earlier stream");
}

#[test]
fn an_evicted_host_leaves_no_record() {
    let mut tables = two_classes(&[1]);
    tables.apply(&[entry(1, "h1", 1.0), entry(1, "h2", 1.0), assign(1, 1, 0)]);
    let before = tables.records();
    tables.apply(&[entry(1, "h3", 1.0)]);
    tables.apply(&[Action::SetEjected { host: host("h3"), ejected: true }]);
    tables.apply(&[entry(1, "h3", 0.0)]);
    assert!(tables.records() > before, "the ejection of h3 is recorded");
    tables.evict_host(&host("h3"));
    assert_eq!(tables.records(), before);
}

#[test]
fn a_table_too_long_for_one_frame_is_split_into_parts() {
    let mut tables = two_classes(&[1]);
    let long_entry = |index: usize| entry(1, &format!("{index:0>200}"), 1.0 / 3.0);
    tables.apply(&(0..20_000).map(long_entry).collect::<Vec<_>>());
    let update = single_update(tables.apply(&[assign(1, 1, 0)]));
    assert!(update.parts.len() > 4);
    let mut model = ModelProxy::new(2);
    model.apply(&tables.classes, &update);
    assert_eq!((model.tables[0].len(), model.tables[1].len()), (20_000, 20_000));
    assert_eq!(update.queue_lines(), 20_001);
}

/// A deterministic pseudo-random number generator: a seed gives the same sequence on every run.
struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// One batch of a few random actions; assignments may name proxies that are not connected.
fn random_actions(numbers: &mut RandomNumbers) -> Vec<Action> {
    let mut actions = Vec::new();
    for _ in 0..1 + numbers.below(6) {
        let table = numbers.below(3) as u32;
        let name = format!("h{}", numbers.below(5));
        let mask = numbers.below(8);
        let level = numbers.below(4) as f64;
        let retry = [Retry::Never, Retry::OnProof, Retry::Once, Retry::Twice][numbers.below(4) as usize];
        actions.push(match numbers.below(20) {
            0..8 => entry(table, &name, numbers.below(3) as f64),
            8 => Action::ClearTable(TableId(table)),
            9..12 => assign(numbers.below(4) as u32, table, mask),
            12..14 => Action::SetEjected { host: host(&name), ejected: numbers.below(2) == 0 },
            14..17 => set_admission(Some(table), mask, level, retry),
            17 => set_admission(None, mask, level, retry),
            18 => Action::Barrier { all_proxies: numbers.below(2) == 0, number: numbers.below(100) },
            _ => Action::Notice(wingfold_director::interface::Notice::ShardsUnsupported),
        });
    }
    actions
}

#[test]
fn proxies_match_their_assigned_tables_after_random_actions() {
    let names = ["x".to_string(), "y".into(), "z".into()];
    let mut messages = 0;
    for seed in 0..300 {
        let mut numbers = RandomNumbers(seed);
        let mut tables = Tables::new(&names);
        let mut proxies = vec![ModelProxy::new(3); 4];
        for step in 0..80 {
            let proxy = numbers.below(4) as u32;
            match numbers.below(10) {
                0 => tables.proxy_disconnected(ProxyId(proxy)),
                1..6 if !tables.streams.contains_key(&ProxyId(proxy)) => {
                    tables.proxy_connected(ProxyId(proxy))
                }
                _ => {}
            }
            let actions = random_actions(&mut numbers);
            let updates = tables.apply(&actions);
            let mut recipients: Vec<u32> = updates.iter().map(|update| update.proxy.0).collect();
            recipients.dedup();
            assert_eq!(recipients.len(), updates.len(), "at most one update for each proxy");
            for update in &updates {
                assert!(tables.streams.contains_key(&update.proxy), "updates go only to connected proxies");
                proxies[update.proxy.0 as usize].apply(&tables.classes, update);
            }
            for (id, stream) in &tables.streams {
                let model = &proxies[id.0 as usize];
                for (class, assigned) in stream.assigned_tables.iter().enumerate() {
                    let Some(table) = assigned else { continue };
                    let table = tables.tables.get(table).cloned().unwrap_or_default();
                    let entries =
                        table.entries.iter().map(|(host, weight)| (host.0.clone(), *weight)).collect();
                    assert_eq!(model.tables[class], entries, "seed {seed}, step {step}: {actions:?}");
                    let admission = tables.admission(stream, class);
                    assert_eq!(model.admission[class], admission, "seed {seed}, step {step}: {actions:?}");
                    for host in table.entries.keys() {
                        let ejected = model.ejected.contains(&host.0);
                        assert_eq!(
                            ejected,
                            tables.ejected.contains(host),
                            "seed {seed}, step {step}: {actions:?}"
                        );
                    }
                }
            }
        }
        messages += proxies.iter().map(|p| p.messages).sum::<usize>();
    }
    assert!(messages > 10_000, "only {messages} messages were applied");
}
