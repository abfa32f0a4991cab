//! The estimated figures, and how each is computed from the measurements. Rates are per second.

use super::{
    ENGINES, ENTRIES, LINKS_PER_ENTRY, MAX_BYTE_RATE, MAX_CPU_PERCENT, MAX_MEMORY_MB,
    MAX_READ_RATE, MAX_WRITE_RATE, Measurements, PATCH_RATE, PUBLISH_S, REQUEST_RATE,
    SAMPLES_PER_STEP, STEP_S, SUBSET_SIZE, TOKEN_RATE, TRAINERS, ZONES, samples_per_entry,
    tokens_per_sample,
};

/// Rate of ticks of a rollout controller.
const ROLLOUT_TICK_RATE: f64 = 20.0;
/// Rate of candidate lookups per lease.
const LOOKUP_RATE: f64 = 10.0;
/// Rate at which an entry listed the platform's instances before it used watches.
const LIST_RATE: f64 = 2.0;
/// Number of steps whose samples a runner holds: the running one and the previous one.
const RETAINED_STEPS: f64 = 2.0;
/// Number of tokens of a chunk.
const CHUNK_TOKENS: f64 = 32.0;
/// Number of shards of the idempotency claims.
const SHARDS: f64 = 64.0;
/// Number of claims in a commit.
const COMMIT_CLAIMS: f64 = 100.0;
/// Maximum rate of load reports that an entry reads.
const MAX_REPORT_RATE: f64 = 64.0;
/// Rate of load reports of one engine while the total is below [`MAX_REPORT_RATE`].
const ENGINE_REPORT_RATE: f64 = 4.0;
/// Rate of ticks of a runner.
const RUNNER_TICK_RATE: f64 = 10.0;
/// Rate at which all entries together start watches of one kind.
const WATCH_RATE: f64 = 100.0;
/// Rate at which all entries together list the member objects.
const MEMBER_LIST_RATE: f64 = 20.0;
/// Rate of calls for one lease: two candidates read it, the holder renews it.
const LEASE_CALL_RATE: f64 = 2.6;

/// An [`Estimate`](super::Estimate) and how its value is computed.
pub(super) struct Row {
    pub(super) component: &'static str,
    pub(super) figure: &'static str,
    pub(super) unit: &'static str,
    pub(super) bound: Option<f64>,
    /// Computes the value; `None` if a measurement is missing.
    pub(super) value: fn(&Measurements) -> Option<f64>,
}

/// Size of a load report in both directions, in bytes.
fn report_size(m: &Measurements) -> Option<f64> {
    m.at("reports_size", MAX_REPORT_RATE)
}

/// CPU time of an operation that takes `micros` microseconds and happens at a rate of `rate`, in
/// percent of a core.
fn percent(micros: f64, rate: f64) -> f64 {
    micros * rate / 1e4
}

/// All rows, in the order in which they are printed.
pub(super) const ROWS: &[Row] = &[
    Row {
        component: "front of live requests",
        figure: "all requests as completions of 256 tokens, whole answers",
        unit: "% of a core, an entry",
        bound: None,
        value: |m| Some(percent(m.at("completion", 256.0)?, REQUEST_RATE / ENTRIES)),
    },
    Row {
        component: "front of live requests",
        figure: "the same, streamed",
        unit: "% of a core, an entry",
        bound: None,
        value: |m| {
            Some(percent(
                m.at("completion_streamed", 256.0)?,
                REQUEST_RATE / ENTRIES,
            ))
        },
    },
    Row {
        component: "front of live requests",
        figure: "one choice among the whole fleet",
        unit: "µs",
        bound: None,
        value: |m| m.at("choose", ENGINES),
    },
    Row {
        component: "front of live requests",
        figure: "one choice in the subset of 64",
        unit: "µs",
        bound: None,
        value: |m| m.at("choose", SUBSET_SIZE),
    },
    Row {
        component: "front of lots",
        figure: "a cursor token",
        unit: "bytes",
        bound: None,
        value: |m| m.at("token", SAMPLES_PER_STEP),
    },
    Row {
        component: "front of lots",
        figure: "tokens read, written and merged, all samples of all steps",
        unit: "% of a core, an entry",
        bound: None,
        value: |m| {
            // A collect returns 512 samples, and parses the token at the receiving entry and at 16
            // runners.
            let calls = TRAINERS * SAMPLES_PER_STEP / 512.0 / STEP_S;
            let each = 17.0 * m.at("token_read", SAMPLES_PER_STEP)? + m.at("merge", 512.0)?;
            Some(percent(each, calls / ENTRIES))
        },
    },
    Row {
        component: "runner",
        figure: "samples held of two steps, every token a sample's",
        unit: "MB, an entry",
        bound: Some(MAX_MEMORY_MB),
        value: |m| {
            let each = m.at("sample_held", tokens_per_sample())?;
            Some(each * samples_per_entry() * RETAINED_STEPS / 1e6)
        },
    },
    Row {
        component: "runner",
        figure: "decisions, every token a sample's",
        unit: "% of a core, an entry",
        bound: None,
        value: |m| {
            let chunks = percent(
                m.at("chunk", SUBSET_SIZE)?,
                TOKEN_RATE / CHUNK_TOKENS / ENTRIES,
            );
            let held = samples_per_entry() * RETAINED_STEPS;
            let each = m.at("sample", held)? + m.at("collect", held)?;
            Some(chunks + percent(each, samples_per_entry() / STEP_S))
        },
    },
    Row {
        component: "runner",
        figure: "the whole path, every token a sample's",
        unit: "% of a core, an entry",
        bound: None,
        value: |m| {
            let rate = TRAINERS * SAMPLES_PER_STEP / STEP_S / ENTRIES;
            Some(percent(m.at("sample_path", tokens_per_sample())?, rate))
        },
    },
    Row {
        component: "runner",
        figure: "offers and ticks while work runs, 64 engines idle",
        unit: "% of a core, an entry",
        bound: Some(MAX_CPU_PERCENT),
        value: |m| {
            Some(percent(
                m.at("offer", SUBSET_SIZE * SUBSET_SIZE)?,
                MAX_REPORT_RATE + RUNNER_TICK_RATE,
            ))
        },
    },
    Row {
        component: "endpoint state",
        figure: "load reports, every engine asked by every entry four times a second",
        unit: "% of a core, an entry",
        bound: Some(MAX_CPU_PERCENT),
        value: |m| m.at("reports_cpu", ENGINES * ENGINE_REPORT_RATE),
    },
    Row {
        component: "endpoint state",
        figure: "load reports, 64 a second",
        unit: "% of a core, an entry",
        bound: Some(MAX_CPU_PERCENT),
        value: |m| m.at("reports_cpu", MAX_REPORT_RATE),
    },
    Row {
        component: "endpoint state",
        figure: "load reports, every engine asked by every entry four times a second",
        unit: "bytes/s, an entry",
        bound: Some(MAX_BYTE_RATE),
        value: |m| Some(report_size(m)? * ENGINES * ENGINE_REPORT_RATE),
    },
    Row {
        component: "endpoint state",
        figure: "load reports, 64 a second",
        unit: "bytes/s, an entry",
        bound: Some(MAX_BYTE_RATE),
        value: |m| Some(report_size(m)? * MAX_REPORT_RATE),
    },
    Row {
        component: "endpoint state",
        figure: "load reports that 6 KB/s allow, nothing else counted",
        unit: "reports/s, an entry",
        bound: None,
        value: |m| Some(MAX_BYTE_RATE / report_size(m)?),
    },
    Row {
        component: "endpoint state",
        figure: "memory of an entry that holds every engine, idle",
        unit: "MB, an entry",
        bound: Some(MAX_MEMORY_MB),
        value: |m| m.at("engines_resident", ENGINES),
    },
    Row {
        component: "endpoint state",
        figure: "the platform's list, read twice a second",
        unit: "bytes/s, an entry",
        bound: Some(MAX_BYTE_RATE),
        value: |m| Some(m.at("instance", 1.0)? * (ENGINES + ENTRIES) * LIST_RATE),
    },
    Row {
        component: "endpoint state",
        figure: "the platform's changes by watch, three a restart or failure",
        unit: "bytes/s, an entry",
        bound: Some(MAX_BYTE_RATE),
        value: |m| Some(m.at("instance", 1.0)? * 3.0 * (550.0 + 32.0) / 86_400.0),
    },
    Row {
        component: "endpoint state",
        figure: "memory, the whole fleet, histories full",
        unit: "MB, an entry",
        bound: Some(MAX_MEMORY_MB),
        value: |m| Some(m.at("endpoint_busy", ENGINES)? / 1e3),
    },
    Row {
        component: "endpoint state",
        figure: "a new subset worked out for every engine",
        unit: "ms",
        bound: None,
        value: |m| Some(m.at("subset", ENTRIES)? * ENGINES / 1e3),
    },
    Row {
        component: "membership and links",
        figure: "summaries to peers, full mesh",
        unit: "bytes/s, an entry",
        bound: Some(MAX_BYTE_RATE),
        value: |m| Some(m.at("summary", TRAINERS)? * (ENTRIES - 1.0)),
    },
    Row {
        component: "membership and links",
        figure: "summaries to peers, 12 links",
        unit: "bytes/s, an entry",
        bound: Some(MAX_BYTE_RATE),
        value: |m| Some(m.at("summary", TRAINERS)? * LINKS_PER_ENTRY),
    },
    Row {
        component: "membership and links",
        figure: "all control before 8 engines, by the sites with few links",
        unit: "% of a core, an entry",
        bound: Some(MAX_CPU_PERCENT),
        value: |m| m.at("sparse_cpu", ENTRIES),
    },
    Row {
        component: "membership and links",
        figure: "memory at rest, by the sites with few links",
        unit: "MB, an entry",
        bound: Some(MAX_MEMORY_MB),
        value: |m| m.at("sparse_resident", ENTRIES),
    },
    Row {
        component: "membership and links",
        figure: "a look who wants links, all entries",
        unit: "ms",
        bound: None,
        value: |m| Some(m.at("wanted", ENTRIES)? * ENTRIES / 1e3),
    },
    Row {
        component: "configuration",
        figure: "a look whether requests are admitted",
        unit: "ns",
        bound: None,
        value: |m| m.at("admits", TRAINERS),
    },
    Row {
        component: "configuration",
        figure: "the object with 19 trainers, read twice a second",
        unit: "bytes/s, an entry",
        bound: Some(MAX_BYTE_RATE),
        value: |m| Some(m.at("config_object", TRAINERS)? * 2.0),
    },
    Row {
        component: "configuration",
        figure: "prepares passed on by a relay, the average of a day",
        unit: "bytes/s, a relay of 21",
        bound: Some(MAX_BYTE_RATE),
        value: |m| Some(m.at("prepare", TRAINERS)? * 20.0 * PATCH_RATE),
    },
    Row {
        component: "claims writer",
        figure: "every request claimed, all shards at one entry",
        unit: "% of a core",
        bound: Some(MAX_CPU_PERCENT),
        value: |m| Some(percent(m.at("claim", 100_000.0)?, REQUEST_RATE)),
    },
    Row {
        component: "claims writer",
        figure: "every request claimed, shards spread over all entries",
        unit: "% of a core, an entry",
        bound: Some(MAX_CPU_PERCENT),
        value: |m| Some(percent(m.at("claim", 100_000.0)?, REQUEST_RATE / ENTRIES)),
    },
    Row {
        component: "claims writer",
        figure: "memory of a shard at its bound of 100,000 keys",
        unit: "MB",
        bound: Some(MAX_MEMORY_MB),
        value: |m| Some(m.at("claim_kept", 100_000.0)? / 1e3),
    },
    Row {
        component: "claims writer",
        figure: "requests a second that may carry a key: 64 shards, 24 h",
        unit: "requests/s",
        bound: None,
        value: |m| m.at("claim", 0.0).map(|_| SHARDS * 100_000.0 / 86_400.0),
    },
    Row {
        component: "claims writer",
        figure: "bytes written to the object API at that rate",
        unit: "bytes/s, all entries",
        bound: None,
        value: |m| Some(m.at("claim_written", COMMIT_CLAIMS)? * SHARDS * 100_000.0 / 86_400.0),
    },
    Row {
        component: "lease candidate",
        figure: "looks for candidates, a lease a trainer's pool",
        unit: "% of a core, an entry",
        bound: Some(MAX_CPU_PERCENT),
        value: |m| Some(percent(m.at("ranked", ENTRIES)?, LOOKUP_RATE * TRAINERS)),
    },
    Row {
        component: "rollout holder",
        figure: "ticks, one pool of the whole fleet",
        unit: "% of a core",
        bound: Some(MAX_CPU_PERCENT),
        value: |m| Some(percent(m.at("rollout_tick", ENGINES)?, ROLLOUT_TICK_RATE)),
    },
    Row {
        component: "rollout holder",
        figure: "one rollout, decisions",
        unit: "ms",
        bound: None,
        value: |m| m.at("rollout", ENGINES),
    },
    Row {
        component: "rollout holder",
        figure: "orders and reads, one holder, the average of 3 minutes",
        unit: "bytes/s",
        bound: Some(MAX_BYTE_RATE),
        value: |m| Some(m.at("rollout_messages", ENGINES)? * report_size(m)? / PUBLISH_S),
    },
    Row {
        component: "rollout holder",
        figure: "the same, a holder in each zone",
        unit: "bytes/s",
        bound: Some(MAX_BYTE_RATE),
        value: |m| Some(m.at("rollout_messages", ENGINES / ZONES)? * report_size(m)? / PUBLISH_S),
    },
    Row {
        component: "object API",
        figure: "calls at rest, by the sites with few links, watches of 1 s",
        unit: "calls/s",
        bound: Some(MAX_READ_RATE),
        value: |m| m.at("sparse_calls", ENTRIES),
    },
    Row {
        component: "object API",
        figure: "calls at rest by the bounds in the code, a lease a trainer's pool",
        unit: "calls/s",
        bound: Some(MAX_READ_RATE),
        value: |m| {
            m.at("sparse_calls", ENTRIES)?;
            Some(2.0 * WATCH_RATE + MEMBER_LIST_RATE + LEASE_CALL_RATE * TRAINERS)
        },
    },
    Row {
        component: "object API",
        figure: "watches that wait: instances and weights by all, configuration by 2 a zone",
        unit: "watches",
        bound: Some(MAX_READ_RATE),
        value: |m| {
            m.at("sparse_calls", ENTRIES)
                .map(|_| 2.0 * ENTRIES + 2.0 * ZONES)
        },
    },
    Row {
        component: "object API",
        figure: "commits of claims that the writes allow: a create and a delete each",
        unit: "segments/s",
        bound: None,
        value: |m| m.at("claim", 0.0).map(|_| MAX_WRITE_RATE / 2.0),
    },
];
