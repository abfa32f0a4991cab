//! The result of a soak test.

use std::fmt;

/// Result of a soak test.
#[derive(Debug)]
pub struct Report {
    /// Seed of the random draws.
    pub seed: u64,
    /// Injected faults, each with its time since the start in milliseconds.
    pub injected_faults: Vec<String>,
    /// Number of endpoints that each crashing request crashed.
    pub crash_counts: Vec<usize>,
    /// Violations of guarantees.
    pub violations: Vec<String>,
    /// Number of live requests: answered, refused as not run, and with an unknown outcome.
    pub live_counts: [u64; 3],
    /// Number of the trainer's steps: done, given up, and refused.
    pub step_counts: [u64; 3],
    /// Number of orders that engines accepted.
    pub accepted_order_count: usize,
    /// Number of calls to the store.
    pub store_call_count: u64,
    /// What was judged of changes of the configuration; empty if there were none.
    pub config_summary: String,
    /// What was judged of the calls of the store; empty without foreign entries.
    pub store_summary: String,
    /// What was judged of the processes.
    pub process_summary: String,
    /// Log lines of the instances, if there are violations.
    pub logs: Vec<String>,
}

impl Report {
    /// The violations, the injected faults and the logs, for the message of a failed test.
    pub fn details(&self) -> String {
        let (violations, faults) = (&self.violations, &self.injected_faults);
        format!("{violations:#?}\n{faults:#?}\n{}", self.logs.join("\n"))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [good, not_run, unknown] = self.live_counts;
        let [done, given_up, refused] = self.step_counts;
        write!(
            f,
            "seed {}: {} faults, live {good} good {not_run} not run {unknown} unknown, \
             steps {done} done {given_up} given up {refused} refused, {} orders, {} calls, crashes under each request {:?}, {} broken",
            self.seed,
            self.injected_faults.len(),
            self.accepted_order_count,
            self.store_call_count,
            self.crash_counts,
            self.violations.len(),
        )?;
        write!(f, "; {}", self.process_summary)?;
        let summaries = [&self.store_summary, &self.config_summary];
        for summary in summaries.into_iter().filter(|s| !s.is_empty()) {
            write!(f, "; {summary}")?;
        }
        Ok(())
    }
}
