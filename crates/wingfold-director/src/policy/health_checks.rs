//! Health checks: which hosts the director asks for their load.
use crate::director::Director;
use crate::interface::{Action, HostId, LoadReportSource};
use crate::policy::subsetting::MIN_SAMPLE_HOSTS;

/// Number of directors that check a host in each interval, on average: a check costs the host work. Up to
/// this many directors each check all hosts; where there are more, each checks a random sample of the hosts.
const CHECKING_DIRECTORS_PER_HOST: f64 = 2.0;

impl Director {
    /// Requests health checks, if the settings allow them and hosts report their load in no other way.
    pub(crate) fn request_health_checks(&mut self, actions: &mut Vec<Action>) {
        let are_needed = self.settings.health_checks_allowed
            && self.settings.load_report_source == LoadReportSource::WithHealthChecks;
        if !are_needed {
            return;
        }
        let ready_hosts: Vec<HostId> = self.ready_hosts().map(|(id, _)| id.clone()).collect();
        let ratio_per_director = CHECKING_DIRECTORS_PER_HOST / f64::from(self.settings.directors);
        let sample_ratio = ratio_per_director.max(MIN_SAMPLE_HOSTS / ready_hosts.len() as f64);
        for host in ready_hosts {
            if self.next_random() < sample_ratio {
                actions.push(Action::CheckHealth(host));
            }
        }
    }
}
