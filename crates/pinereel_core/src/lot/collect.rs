//! Delivery of finished samples: collects, scoring, and handover when the runner drains.

use super::{Action, CollectRequest, Runner, Sample, state::SampleKey};
use crate::{Time, cursor::Token, provenance, staleness};
use std::mem;

impl Runner {
    pub(super) fn collect(&mut self, now: Time, request: CollectRequest) {
        let Some(lot) = self.lots.get_mut(&request.lot) else {
            self.actions.push(Action::Answer {
                call: request.call,
                samples: Vec::new(),
                missing: request.groups,
            });
            return;
        };
        if let Err(error) = request.token.check_lot(lot.spec.digest, lot.spec.step) {
            let call = request.call;
            self.actions.push(Action::Rejected { call, error });
            return;
        }
        lot.last_activity = now;
        lot.requested = true;
        let newer = request.version > lot.spec.version;
        // The version that the trainer states replaces the one predicted when the lot was submitted
        // ahead of its step.
        lot.spec.version = request.version;
        let lacks = |group: &u32| !lot.groups.contains_key(group);
        let missing = request.groups.iter().copied().filter(lacks).collect();
        let keys: Vec<_> = lot.samples.values().copied().collect();
        for key in &keys {
            self.acknowledge(*key, &request.token);
        }
        if newer {
            self.abort_stale();
        }
        let samples = self.collectable(&keys, &request);
        self.actions.push(Action::Answer {
            call: request.call,
            samples,
            missing,
        });
    }

    /// Frees a sample that the trainer holds according to its token. If a later token lacks a freed
    /// sample, the trainer went back to an older token, and the sample is queued again.
    fn acknowledge(&mut self, key: SampleKey, token: &Token) {
        let sample_state = &mut self.samples[key];
        let holds = token.contains(sample_state.index);
        if mem::replace(&mut sample_state.delivered, holds) == holds {
            return;
        }
        if holds {
            sample_state.saved_progress = None;
            self.cancel_attempts(key);
            self.unqueue(key);
            self.discard_finished(key);
        } else {
            self.requeue(key, None);
        }
    }

    /// Finished and scored samples for the answer, up to the size limits. Samples that are too old for
    /// the request are queued again.
    fn collectable(&mut self, keys: &[SampleKey], request: &CollectRequest) -> Vec<Sample> {
        let mut samples = Vec::new();
        let mut bytes = 0;
        for key in keys {
            let finished = self.samples[*key].finished.as_ref();
            let Some(ready) = finished.filter(|f| f.score_ticket.is_none()) else {
                continue;
            };
            let oldest = provenance::oldest_version(&ready.sample.spans);
            if oldest.is_none_or(|o| !staleness::is_fresh(o, request.version, request.bound)) {
                self.expire_finished(*key);
                continue;
            }
            bytes += ready.sample.text.len();
            let full = bytes > self.limits.max_answer_bytes && !samples.is_empty();
            if samples.len() < request.max_samples && !full {
                samples.push(ready.sample.clone());
            }
        }
        samples
    }

    /// Announces that a sample can be collected, or hands it over if this runner is draining.
    pub(super) fn announce_finished(&mut self, key: SampleKey) {
        let sample_state = &self.samples[key];
        let lot = &self.lots[&sample_state.lot];
        if !self.draining {
            let lot = sample_state.lot.clone();
            self.actions.push(Action::Ready { lot });
            return;
        }
        let finished = sample_state.finished.iter().map(|f| f.sample.clone());
        self.actions.push(Action::Handover {
            spec: lot.full_spec(),
            samples: finished.collect(),
        });
    }

    /// Hands over all finished samples; those still running follow when they finish.
    pub(super) fn drain(&mut self) {
        if mem::replace(&mut self.draining, true) {
            return;
        }
        for lot in self.lots.values() {
            let sample_states = lot.samples.values().map(|key| &self.samples[*key]);
            let ready = sample_states.filter_map(|sample_state| sample_state.finished.as_ref());
            let ready = ready.filter(|f| f.score_ticket.is_none());
            self.actions.push(Action::Handover {
                spec: lot.full_spec(),
                samples: ready.map(|f| f.sample.clone()).collect(),
            });
        }
    }

    /// Requests a score. The returned ticket ties the answer to this text, so that the score of an
    /// earlier text of the sample is ignored.
    pub(super) fn request_score(&mut self, key: SampleKey, sample: &Sample) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.scorings.insert(ticket, (key, None));
        let sample_state = &self.samples[key];
        let lot = &self.lots[&sample_state.lot];
        self.actions.push(Action::Score {
            ticket,
            trainer: lot.spec.trainer.clone(),
            prompt: lot.groups[&sample_state.group].group.prompt.clone(),
            text: sample.text.clone(),
        });
        ticket
    }

    /// Stores the score of a finished sample. Dropped if its ticket is no longer pending.
    pub(super) fn scored(&mut self, ticket: u64, score: f64) {
        let Some((key, _)) = self.scorings.remove(&ticket) else {
            self.stats.late_events += 1;
            return;
        };
        if let Some(finished) = &mut self.samples[key].finished {
            finished.sample.score = Some(score);
            finished.score_ticket = None;
            self.announce_finished(key);
        }
    }

    /// Schedules a retry of a failed scoring.
    pub(super) fn score_failed(&mut self, now: Time, ticket: u64) {
        let retry_at = now + self.limits.rescore_delay;
        if let Some((_, due)) = self.scorings.get_mut(&ticket) {
            *due = Some(retry_at);
        }
    }

    /// Requests a score again for each failed scoring whose delay has passed.
    pub(super) fn retry_scores(&mut self, now: Time) {
        let scorings = self.scorings.iter();
        let due = scorings.filter(|(_, (_, due))| due.is_some_and(|due| due <= now));
        let due: Vec<_> = due.map(|(ticket, (key, _))| (*ticket, *key)).collect();
        for (ticket, key) in due {
            self.scorings.remove(&ticket);
            let finished = self.samples[key].finished.as_ref();
            let Some(sample) = finished.map(|f| f.sample.clone()) else {
                continue;
            };
            let ticket = self.request_score(key, &sample);
            if let Some(finished) = &mut self.samples[key].finished {
                finished.score_ticket = Some(ticket);
            }
        }
    }

    /// Drops a finished sample and its pending scoring.
    pub(super) fn discard_finished(&mut self, key: SampleKey) {
        let finished = self.samples[key].finished.take();
        if let Some(ticket) = finished.and_then(|f| f.score_ticket) {
            self.scorings.remove(&ticket);
        }
    }
}
