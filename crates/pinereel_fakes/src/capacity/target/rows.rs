//! The figures at the target, each with the slopes that it is worked out from.

use super::{
    BYTES, CPU, ENGINES, ENTRIES, LINKS, MEMORY, Measured, PATCHES, PUBLISH, READS, REQUESTS,
    SAMPLES, STEP, SUBSET, TOKENS, TRAINERS, WRITES, ZONES, sample_tokens, samples_each,
};

/// Ticks of a rollout's controller a second.
const TICKS: f64 = 20.0;
/// Looks for candidates a second and duty.
const LOOKS: f64 = 10.0;
/// Lists of the platform's instances a second, before watches.
const LISTS: f64 = 2.0;
/// Steps whose samples a runner keeps: the one that runs and the one before.
const STEPS_KEPT: f64 = 2.0;
/// Tokens of one chunk of a sample.
const CHUNK: f64 = 32.0;
/// Shards of the idempotency claims.
const SHARDS: f64 = 64.0;
/// Claims of one commit.
const BATCH: f64 = 100.0;
/// Load reports that an entry reads a second at most.
const REPORTS: f64 = 64.0;
/// Load reports of one engine a second, as long as they are few.
const REPORTS_EACH: f64 = 4.0;
/// Ticks of a runner a second.
const RUNNER_TICKS: f64 = 10.0;
/// Watches of one kind that all entries begin a second, and lists of the members.
const WATCHES: f64 = 100.0;
const MEMBER_LISTS: f64 = 20.0;
/// Reads and renewals of one lease a second: two candidates look, the holder renews.
const LEASE_CALLS: f64 = 2.6;

/// One figure at the target.
pub(super) struct Row {
    pub(super) duty: &'static str,
    pub(super) what: &'static str,
    pub(super) unit: &'static str,
    pub(super) bound: Option<f64>,
    pub(super) value: fn(&Measured) -> Option<f64>,
}

/// Bytes of one load report, both directions.
fn report_bytes(m: &Measured) -> Option<f64> {
    m.at("reports_size", REPORTS)
}

/// Percent of a core for something of `micros` that happens `rate` times a second.
fn percent(micros: f64, rate: f64) -> f64 {
    micros * rate / 1e4
}

/// All of them, in the order of the page.
pub(super) const ROWS: &[Row] = &[
    Row {
        duty: "front of live requests",
        what: "all requests as completions of 256 tokens, whole answers",
        unit: "% of a core, an entry",
        bound: None,
        value: |m| Some(percent(m.at("completion", 256.0)?, REQUESTS / ENTRIES)),
    },
    Row {
        duty: "front of live requests",
        what: "the same, streamed",
        unit: "% of a core, an entry",
        bound: None,
        value: |m| {
            Some(percent(
                m.at("completion_streamed", 256.0)?,
                REQUESTS / ENTRIES,
            ))
        },
    },
    Row {
        duty: "front of live requests",
        what: "one choice among the whole fleet",
        unit: "µs",
        bound: None,
        value: |m| m.at("choose", ENGINES),
    },
    Row {
        duty: "front of live requests",
        what: "one choice in the subset of 64",
        unit: "µs",
        bound: None,
        value: |m| m.at("choose", SUBSET),
    },
    Row {
        duty: "front of lots",
        what: "a cursor token",
        unit: "bytes",
        bound: None,
        value: |m| m.at("token", SAMPLES),
    },
    Row {
        duty: "front of lots",
        what: "tokens read, written and merged, all samples of all steps",
        unit: "% of a core, an entry",
        bound: None,
        value: |m| {
            // A collect takes 512 samples here, and reads the token at the front and 16 runners.
            let calls = TRAINERS * SAMPLES / 512.0 / STEP;
            let each = 17.0 * m.at("token_read", SAMPLES)? + m.at("merge", 512.0)?;
            Some(percent(each, calls / ENTRIES))
        },
    },
    Row {
        duty: "runner",
        what: "samples held of two steps, every token a sample's",
        unit: "MB, an entry",
        bound: Some(MEMORY),
        value: |m| {
            let each = m.at("sample_held", sample_tokens())?;
            Some(each * samples_each() * STEPS_KEPT / 1e6)
        },
    },
    Row {
        duty: "runner",
        what: "decisions, every token a sample's",
        unit: "% of a core, an entry",
        bound: None,
        value: |m| {
            let chunks = percent(m.at("chunk", SUBSET)?, TOKENS / CHUNK / ENTRIES);
            let held = samples_each() * STEPS_KEPT;
            let each = m.at("sample", held)? + m.at("collect", held)?;
            Some(chunks + percent(each, samples_each() / STEP))
        },
    },
    Row {
        duty: "runner",
        what: "the whole path, every token a sample's",
        unit: "% of a core, an entry",
        bound: None,
        value: |m| {
            let rate = TRAINERS * SAMPLES / STEP / ENTRIES;
            Some(percent(m.at("sample_path", sample_tokens())?, rate))
        },
    },
    Row {
        duty: "runner",
        what: "offers and ticks while work runs, 64 engines idle",
        unit: "% of a core, an entry",
        bound: Some(CPU),
        value: |m| {
            Some(percent(
                m.at("offer", SUBSET * SUBSET)?,
                REPORTS + RUNNER_TICKS,
            ))
        },
    },
    Row {
        duty: "endpoint state",
        what: "load reports, every engine asked by every entry four times a second",
        unit: "% of a core, an entry",
        bound: Some(CPU),
        value: |m| m.at("reports_cpu", ENGINES * REPORTS_EACH),
    },
    Row {
        duty: "endpoint state",
        what: "load reports, 64 a second",
        unit: "% of a core, an entry",
        bound: Some(CPU),
        value: |m| m.at("reports_cpu", REPORTS),
    },
    Row {
        duty: "endpoint state",
        what: "load reports, every engine asked by every entry four times a second",
        unit: "bytes/s, an entry",
        bound: Some(BYTES),
        value: |m| Some(report_bytes(m)? * ENGINES * REPORTS_EACH),
    },
    Row {
        duty: "endpoint state",
        what: "load reports, 64 a second",
        unit: "bytes/s, an entry",
        bound: Some(BYTES),
        value: |m| Some(report_bytes(m)? * REPORTS),
    },
    Row {
        duty: "endpoint state",
        what: "load reports that 6 KB/s allow, nothing else counted",
        unit: "reports/s, an entry",
        bound: None,
        value: |m| Some(BYTES / report_bytes(m)?),
    },
    Row {
        duty: "endpoint state",
        what: "memory of an entry that holds every engine, idle",
        unit: "MB, an entry",
        bound: Some(MEMORY),
        value: |m| m.at("engines_resident", ENGINES),
    },
    Row {
        duty: "endpoint state",
        what: "the platform's list, read twice a second",
        unit: "bytes/s, an entry",
        bound: Some(BYTES),
        value: |m| Some(m.at("instance", 1.0)? * (ENGINES + ENTRIES) * LISTS),
    },
    Row {
        duty: "endpoint state",
        what: "the platform's changes by watch, three a restart or failure",
        unit: "bytes/s, an entry",
        bound: Some(BYTES),
        value: |m| Some(m.at("instance", 1.0)? * 3.0 * (550.0 + 32.0) / 86_400.0),
    },
    Row {
        duty: "endpoint state",
        what: "memory, the whole fleet, histories full",
        unit: "MB, an entry",
        bound: Some(MEMORY),
        value: |m| Some(m.at("endpoint_busy", ENGINES)? / 1e3),
    },
    Row {
        duty: "endpoint state",
        what: "a new subset worked out for every engine",
        unit: "ms",
        bound: None,
        value: |m| Some(m.at("subset", ENTRIES)? * ENGINES / 1e3),
    },
    Row {
        duty: "membership and links",
        what: "summaries to peers, full mesh",
        unit: "bytes/s, an entry",
        bound: Some(BYTES),
        value: |m| Some(m.at("summary", TRAINERS)? * (ENTRIES - 1.0)),
    },
    Row {
        duty: "membership and links",
        what: "summaries to peers, 12 links",
        unit: "bytes/s, an entry",
        bound: Some(BYTES),
        value: |m| Some(m.at("summary", TRAINERS)? * LINKS),
    },
    Row {
        duty: "membership and links",
        what: "all control before 8 engines, by the sites with few links",
        unit: "% of a core, an entry",
        bound: Some(CPU),
        value: |m| m.at("sparse_cpu", ENTRIES),
    },
    Row {
        duty: "membership and links",
        what: "memory at rest, by the sites with few links",
        unit: "MB, an entry",
        bound: Some(MEMORY),
        value: |m| m.at("sparse_resident", ENTRIES),
    },
    Row {
        duty: "membership and links",
        what: "a look who wants links, all entries",
        unit: "ms",
        bound: None,
        value: |m| Some(m.at("wanted", ENTRIES)? * ENTRIES / 1e3),
    },
    Row {
        duty: "configuration",
        what: "a look whether requests are admitted",
        unit: "ns",
        bound: None,
        value: |m| m.at("admits", TRAINERS),
    },
    Row {
        duty: "configuration",
        what: "the object with 19 trainers, read twice a second",
        unit: "bytes/s, an entry",
        bound: Some(BYTES),
        value: |m| Some(m.at("config_object", TRAINERS)? * 2.0),
    },
    Row {
        duty: "configuration",
        what: "prepares passed on by a relay, the average of a day",
        unit: "bytes/s, a relay of 21",
        bound: Some(BYTES),
        value: |m| Some(m.at("prepare", TRAINERS)? * 20.0 * PATCHES),
    },
    Row {
        duty: "claims writer",
        what: "every request claimed, all shards at one entry",
        unit: "% of a core",
        bound: Some(CPU),
        value: |m| Some(percent(m.at("claim", 100_000.0)?, REQUESTS)),
    },
    Row {
        duty: "claims writer",
        what: "every request claimed, shards spread over all entries",
        unit: "% of a core, an entry",
        bound: Some(CPU),
        value: |m| Some(percent(m.at("claim", 100_000.0)?, REQUESTS / ENTRIES)),
    },
    Row {
        duty: "claims writer",
        what: "memory of a shard at its bound of 100,000 keys",
        unit: "MB",
        bound: Some(MEMORY),
        value: |m| Some(m.at("claim_kept", 100_000.0)? / 1e3),
    },
    Row {
        duty: "claims writer",
        what: "requests a second that may carry a key: 64 shards, 24 h",
        unit: "requests/s",
        bound: None,
        value: |m| m.at("claim", 0.0).map(|_| SHARDS * 100_000.0 / 86_400.0),
    },
    Row {
        duty: "claims writer",
        what: "bytes written to the object API at that rate",
        unit: "bytes/s, all entries",
        bound: None,
        value: |m| Some(m.at("claim_written", BATCH)? * SHARDS * 100_000.0 / 86_400.0),
    },
    Row {
        duty: "lease candidate",
        what: "looks for candidates, a lease a trainer's pool",
        unit: "% of a core, an entry",
        bound: Some(CPU),
        value: |m| Some(percent(m.at("ranked", ENTRIES)?, LOOKS * TRAINERS)),
    },
    Row {
        duty: "rollout holder",
        what: "ticks, one pool of the whole fleet",
        unit: "% of a core",
        bound: Some(CPU),
        value: |m| Some(percent(m.at("rollout_tick", ENGINES)?, TICKS)),
    },
    Row {
        duty: "rollout holder",
        what: "one rollout, decisions",
        unit: "ms",
        bound: None,
        value: |m| m.at("rollout", ENGINES),
    },
    Row {
        duty: "rollout holder",
        what: "orders and reads, one holder, the average of 3 minutes",
        unit: "bytes/s",
        bound: Some(BYTES),
        value: |m| Some(m.at("rollout_messages", ENGINES)? * report_bytes(m)? / PUBLISH),
    },
    Row {
        duty: "rollout holder",
        what: "the same, a holder in each zone",
        unit: "bytes/s",
        bound: Some(BYTES),
        value: |m| Some(m.at("rollout_messages", ENGINES / ZONES)? * report_bytes(m)? / PUBLISH),
    },
    Row {
        duty: "object API",
        what: "calls at rest, by the sites with few links, watches of 1 s",
        unit: "calls/s",
        bound: Some(READS),
        value: |m| m.at("sparse_calls", ENTRIES),
    },
    Row {
        duty: "object API",
        what: "calls at rest by the bounds in the code, a lease a trainer's pool",
        unit: "calls/s",
        bound: Some(READS),
        value: |m| {
            m.at("sparse_calls", ENTRIES)?;
            Some(2.0 * WATCHES + MEMBER_LISTS + LEASE_CALLS * TRAINERS)
        },
    },
    Row {
        duty: "object API",
        what: "watches that wait: instances and weights by all, configuration by 2 a zone",
        unit: "watches",
        bound: Some(READS),
        value: |m| {
            m.at("sparse_calls", ENTRIES)
                .map(|_| 2.0 * ENTRIES + 2.0 * ZONES)
        },
    },
    Row {
        duty: "object API",
        what: "commits of claims that the writes allow: a create and a delete each",
        unit: "segments/s",
        bound: None,
        value: |m| m.at("claim", 0.0).map(|_| WRITES / 2.0),
    },
];
