//! Scheduling of table changes: which ones are sent in an evaluation, by priority and send capacity.
use crate::director::Director;
use crate::incremental::{TableInputs, ZoneTableInputs, NEVER};
use crate::interface::{Action, ClassId, ProxyId, Retry, Timestamp};
use crate::policy::message_limit::MessageBudget;
use crate::policy::outlier_detection::COMMON_LOSS_RATIO;
use crate::policy::ranking::RANKING_COOLDOWN_S;
use crate::policy::send_capacity::{PushPriority, BARRIER_INTERVAL_RATIO};
use crate::policy::subsetting::MIN_REQUESTS_PER_CONNECTION;
use crate::state::{
    subsets_by_last_sent, ByZone, ClassAdmission, EntryChange, HealthState, Table, TableChanges, TablePlan,
    Zone,
};

/// The retry policy of every class. Proof that an attempt never ran makes a retry safe, whatever the effect
/// of the request. After any other failure a retry would miss the latency objective, and would double the
/// load just when hosts lack the capacity for it.
const RETRY_POLICY: Retry = Retry::OnProof;
/// Changes of a weight by less than this ratio are not sent.
const WEIGHT_CHANGE_RATIO: f64 = 0.02;
/// Ratio of the drain grace from which tables for waiting proxies take precedence over changes of tables in
/// use.
const JOIN_PRIORITY_AFTER_GRACE_RATIO: f64 = 0.2;
/// Requests per second that are added to those of each subset's proxies, so that a subset without proxies has
/// an expected share as well.
const BASE_SUBSET_LOAD_PER_S: f64 = 1e-3;

/// The changes of one table that are sent in this evaluation.
struct TablePush {
    /// Whether the table is cleared first; `changes` then hold all its entries except standby entries.
    replaces_table: bool,
    /// Entries and admission levels to send.
    changes: TableChanges,
}

impl TablePush {
    /// A push of `changes` to a table that keeps its other entries.
    fn update(changes: TableChanges) -> TablePush {
        TablePush { replaces_table: false, changes }
    }

    /// A push that replaces a table by its plan, without standby entries.
    fn replacement(plan: &TablePlan, admission_levels: Vec<ClassAdmission>) -> TablePush {
        let changes = TableChanges { entries: plan.full_table_changes(), admission_levels };
        TablePush { replaces_table: true, changes }
    }

    /// Lines that the push adds to a message.
    fn lines(&self) -> usize {
        usize::from(self.replaces_table) + self.changes.len()
    }

    /// Appends the actions of the push and records in the table what was sent.
    fn send(self, table: &mut Table, out: &mut Vec<Action>) {
        if self.replaces_table {
            out.push(Action::ClearTable(table.id));
            table.clear();
        }
        out.extend(table.actions(&self.changes, RETRY_POLICY));
        table.record_sent(self.changes);
    }
}

/// Conditions that are the same for all tables of one zone and one group of classes.
struct PushConditions {
    /// Whether the tables of waiting proxies would exceed the in-flight limit of ordinary changes.
    is_join_burst: bool,
    /// Whether tables have standby entries. In a join burst they have none, since standby entries would delay
    /// the tables of waiting proxies.
    with_standby: bool,
    /// The lowest priority that changes are sent at.
    least_priority: PushPriority,
}

/// The changes that a table needs in order to match its plan.
struct PendingPush<'a> {
    /// The proxies that the table is assigned to.
    proxies: &'a [ProxyId],
    /// What the table should hold.
    plan: &'a TablePlan<'a>,
    /// All changes that are not sent yet, except new standby entries.
    missing: TableChanges,
    /// When the first removal of a draining host among `missing` must be sent, if there is one.
    drain_due_at: Option<Timestamp>,
    /// New standby entries.
    standby: Vec<EntryChange>,
    /// The admission levels that the table should hold.
    admission_levels: Vec<ClassAdmission>,
}

impl PendingPush<'_> {
    /// Whether the table matches its plan.
    fn is_empty(&self) -> bool {
        self.missing.is_empty() && self.standby.is_empty()
    }

    /// Lines of a message that replaces the table.
    fn replacement_lines(&self) -> usize {
        1 + self.plan.active_entries().count() + self.admission_levels.len()
    }
}

impl Director {
    /// Sends the changes that tables need in order to match their plans, and assigns waiting proxies, as far
    /// as the send capacity allows.
    pub(crate) fn reconcile_tables(&mut self, zones: &mut ByZone<Zone>, out: &mut Vec<Action>) {
        self.expire_barriers();
        let waiting = self.proxies_awaiting_assignment();
        let inputs = self.zone_table_inputs(zones, &waiting);
        // The least recently sent subset comes first, so that none starves where the send capacity is short.
        for subset in subsets_by_last_sent(zones) {
            let Some(zone) = zones.get_mut(&subset.zone) else { continue };
            self.push_subset(zone, &inputs[&subset.zone], subset.index, NEVER, out);
        }
        self.update_changed_expected_shares(zones, BASE_SUBSET_LOAD_PER_S);
        if !waiting.is_empty() {
            self.assign_proxies(zones, &inputs, waiting, out);
        }
        let barrier_interval = BARRIER_INTERVAL_RATIO * self.in_flight_limit(PushPriority::DRAIN);
        self.finish_messages(barrier_interval, out);
    }

    /// Sends the changes of all tables of a subset, as far as the send capacity allows. Removals of draining
    /// hosts are due at `removals_due_at` at the latest.
    pub(crate) fn push_subset(
        &mut self,
        zone: &mut Zone,
        zone_inputs: &ZoneTableInputs,
        subset_index: usize,
        removals_due_at: Timestamp,
        out: &mut Vec<Action>,
    ) {
        for group in 0..self.class_groups.len() {
            self.push_changes(zone, zone_inputs, group, subset_index, removals_due_at, out);
        }
    }

    /// Sends the changes of a subset's table for a group of classes if the most urgent may be sent now, and
    /// then as many new standby entries as the send capacity allows. Removals of draining hosts are due at
    /// `removals_due_at` at the latest.
    fn push_changes(
        &mut self,
        zone: &mut Zone,
        zone_inputs: &ZoneTableInputs,
        group: usize,
        subset_index: usize,
        removals_due_at: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let conditions = self.push_conditions(zone, zone_inputs, group);
        let subset = &zone.subsets[subset_index];
        let table = &subset.tables[group];
        let loss_is_common = zone.baseline_loss >= COMMON_LOSS_RATIO;
        let inputs = TableInputs::new(zone_inputs, subset, table, loss_is_common, conditions.with_standby);
        if table.last_empty_push.is_current(&inputs, self.now) {
            return;
        }
        let plan = self.plan_table(zone, zone_inputs, group, subset, table.peak_weight);
        let levels = self.planned_admission_levels(zone_inputs, group);
        let proxies = &zone_inputs.proxies_by_subset[subset_index];
        let missing = table.changes_to(&plan, conditions.with_standby, &levels, WEIGHT_CHANGE_RATIO);
        let drain_due_at = self.drain_due_at(&missing.entries, missing.len());
        let drain_due_at = drain_due_at.map(|due_at| due_at.min(removals_due_at));
        let pending = PendingPush {
            proxies,
            plan: &plan,
            missing,
            drain_due_at,
            standby: if conditions.with_standby { plan.missing_standby_entries(table) } else { Vec::new() },
            admission_levels: levels,
        };
        let is_empty = pending.is_empty();
        let Some(push) = self.select_push(zone, zone_inputs, &conditions, pending) else {
            self.evaluate_by(drain_due_at);
            return;
        };
        if push.replaces_table {
            zone.standby_paused_until = self.seconds_from_now(RANKING_COOLDOWN_S);
        }
        let lines = push.lines();
        let table = &mut zone.subsets[subset_index].tables[group];
        table.peak_weight = plan.peak_weight;
        push.send(table, out);
        if is_empty {
            table.last_empty_push.record(inputs.with_peak_weight(table.peak_weight), NEVER);
        }
        if lines > 0 {
            self.record_messages(lines, proxies);
            zone.tables_changed = true;
            zone.subsets[subset_index].last_sent_at = self.now;
        }
    }

    /// The conditions that all tables of a zone and a group of classes share.
    fn push_conditions(&self, zone: &Zone, zone_inputs: &ZoneTableInputs, group: usize) -> PushConditions {
        let is_join_burst = self.is_join_burst(zone_inputs, group);
        PushConditions {
            is_join_burst,
            with_standby: !is_join_burst && self.allows_standby_entries(zone, zone_inputs, group),
            least_priority: self.least_priority(zone_inputs, is_join_burst),
        }
    }

    /// Whether the tables that waiting proxies need would exceed the in-flight limit of ordinary changes.
    fn is_join_burst(&self, zone_inputs: &ZoneTableInputs, group: usize) -> bool {
        let table_lines = zone_inputs.eligible[group].len() * self.class_groups.len();
        let needed_lines = self.send_queue.queued_lines + (zone_inputs.waiting_proxies * table_lines) as f64;
        zone_inputs.waiting_proxies > 0 && needed_lines > self.in_flight_limit(PushPriority::ORDINARY)
    }

    /// Whether a zone's tables may have standby entries. Not where hosts have refused connections, since
    /// standby entries need more of them; and not where sending all entries takes longer than a cooldown,
    /// since standby entries would never be complete and would delay all other changes.
    fn allows_standby_entries(&self, zone: &Zone, zone_inputs: &ZoneTableInputs, group: usize) -> bool {
        let all_entries = self.proxies.len() * zone_inputs.eligible[group].len() * self.class_groups.len();
        let send_time_s = all_entries as f64 / self.settings.send_rate_lines_per_s;
        send_time_s <= RANKING_COOLDOWN_S && zone.requests_per_connection <= MIN_REQUESTS_PER_CONNECTION
    }

    /// The admission level of each class of a group.
    fn planned_admission_levels(&self, zone_inputs: &ZoneTableInputs, group: usize) -> Vec<ClassAdmission> {
        let group = &self.class_groups[group];
        (0..self.settings.classes.len())
            .filter(|class| group.classes >> class & 1 == 1)
            .map(|class| ClassAdmission { class: ClassId(class), level: zone_inputs.admission_levels[class] })
            .collect()
    }

    /// The lowest priority that changes of tables are sent at. In a join burst this is the priority of
    /// assignments, since outdated tables overload hosts, until the first of the waiting proxies has waited
    /// for [`JOIN_PRIORITY_AFTER_GRACE_RATIO`] of the drain grace.
    fn least_priority(&self, zone_inputs: &ZoneTableInputs, is_join_burst: bool) -> PushPriority {
        let join_priority_after_s = JOIN_PRIORITY_AFTER_GRACE_RATIO * self.settings.drain_grace.secs();
        if is_join_burst && zone_inputs.longest_wait_s < join_priority_after_s {
            PushPriority::ASSIGNMENT
        } else {
            PushPriority::ORDINARY
        }
    }

    /// The priority of the most urgent of `changes`, but no less than `least`.
    fn most_urgent_priority(
        &self,
        zone: &Zone,
        changes: &[EntryChange],
        least: PushPriority,
    ) -> PushPriority {
        let priorities = changes.iter().map(|change| self.change_priority(zone, change));
        priorities.fold(least, PushPriority::most_urgent)
    }

    /// The priority of a change. A change that lowers the weight of a host that is warming up has health
    /// priority: such a host can carry only a small load, and a greater weight would overload it.
    fn change_priority(&self, zone: &Zone, change: &EntryChange) -> PushPriority {
        if !change.lowers_weight() {
            return PushPriority::ORDINARY;
        }
        let host = &self.hosts[&change.host];
        if !host.is_ready() {
            return PushPriority::DRAIN;
        }
        let stats = zone.host_stats.get(&change.host);
        let is_ejected = stats.is_some_and(|stats| matches!(stats.health, HealthState::Ejected { .. }));
        if is_ejected || self.age_in_warm_ups(host) < 1.0 {
            PushPriority::HEALTH
        } else {
            PushPriority::ORDINARY
        }
    }

    /// The changes of a table that are sent now, standby entries included; `None` if the send capacity admits
    /// none.
    fn select_push(
        &self,
        zone: &Zone,
        zone_inputs: &ZoneTableInputs,
        conditions: &PushConditions,
        mut pending: PendingPush,
    ) -> Option<TablePush> {
        let proxies = pending.proxies;
        let standby = std::mem::take(&mut pending.standby);
        let mut push = self.select_missing_changes(zone, conditions, pending)?;
        let no_proxy_waits = zone_inputs.waiting_proxies == 0;
        if no_proxy_waits && !push.replaces_table && self.now >= zone.standby_paused_until {
            self.add_standby_entries(&mut push.changes, standby, proxies);
        }
        Some(push)
    }

    /// The missing changes of a table that are sent now: all of them, a replacement of the table if that is
    /// shorter, or only the most urgent ones. `None` if the send capacity admits none.
    fn select_missing_changes(
        &self,
        zone: &Zone,
        conditions: &PushConditions,
        pending: PendingPush,
    ) -> Option<TablePush> {
        let replacement_lines = pending.replacement_lines();
        let PendingPush { proxies, plan, missing, drain_due_at, admission_levels, .. } = pending;
        // A table without proxies costs nothing, and must be complete before a proxy is assigned to it.
        if missing.is_empty() || proxies.is_empty() {
            return Some(TablePush::update(missing));
        }
        let priority = self.most_urgent_priority(zone, &missing.entries, conditions.least_priority);
        let budget = self.message_budget(drain_due_at);
        let is_replacement_shorter = replacement_lines < missing.len();
        let prefers_replacement =
            is_replacement_shorter && (conditions.is_join_burst || priority == PushPriority::DRAIN);
        if !prefers_replacement && self.has_capacity(priority, budget, missing.len(), proxies) {
            return Some(TablePush::update(missing));
        }
        if is_replacement_shorter && self.has_capacity(priority, budget, replacement_lines, proxies) {
            return Some(TablePush::replacement(plan, admission_levels));
        }
        self.select_urgent_changes(zone, missing.entries, priority, budget, proxies)
    }

    /// Only the most urgent changes, if the send capacity admits them. New entries are sent along with these,
    /// since the table might otherwise become empty.
    fn select_urgent_changes(
        &self,
        zone: &Zone,
        mut entries: Vec<EntryChange>,
        priority: PushPriority,
        budget: MessageBudget,
        proxies: &[ProxyId],
    ) -> Option<TablePush> {
        entries.retain(|change| change.adds_entry() || self.change_priority(zone, change) == priority);
        if priority == PushPriority::ORDINARY || !self.has_capacity(priority, budget, entries.len(), proxies)
        {
            return None;
        }
        Some(TablePush::update(TableChanges { entries, admission_levels: Vec::new() }))
    }

    /// Adds as many new standby entries to a table's changes as the send capacity allows.
    fn add_standby_entries(
        &self,
        changes: &mut TableChanges,
        standby: Vec<EntryChange>,
        proxies: &[ProxyId],
    ) {
        let lines = changes.len();
        if !self.has_capacity(PushPriority::STANDBY, MessageBudget::Surplus, lines + 1, proxies) {
            return;
        }
        let free_lines = self.in_flight_limit(PushPriority::STANDBY) - self.send_queue.queued_lines;
        let free_lines_per_proxy = free_lines / proxies.len().max(1) as f64;
        let max_lines = (free_lines_per_proxy - self.lines_per_message()) as usize;
        changes.entries.extend(standby.into_iter().take(max_lines.saturating_sub(lines)));
    }
}
