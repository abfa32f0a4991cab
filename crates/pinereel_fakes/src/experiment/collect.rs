//! Trainers' calls at an entry, driven as the daemon does: submit, collect, and what the entry
//! asks of the runners for it.

use super::{
    entry::Waiting,
    job::{Job, Life},
    trainer::Asked,
    world::World,
};
use pinereel_core::{
    Time, Version,
    cursor::{Merge, Token},
    hash,
    lot::{self, Event, Sample, Spec},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Longest wait of a collect.
const WAIT: Duration = Duration::from_secs(1);
/// After the first samples came, how long the other runners may still answer.
const GRACE: Duration = Duration::from_millis(10);
/// Pause between rounds of one collect that found nothing.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// Most samples in one answer.
const MAX: usize = 256;

/// A collect under way at its front.
pub(super) struct Collect {
    asked: Asked,
    life: Life,
    until: Time,
    turn: u32,
    pending: BTreeMap<usize, Vec<u32>>,
    found: Vec<Sample>,
    again: BTreeMap<usize, Vec<u32>>,
    away: BTreeSet<usize>,
}

impl World {
    /// A lot arrives: its groups are spread over the runners.
    pub(super) fn submit(&mut self, trainer: usize, step: u64, front: usize) {
        if !self.entries[front].up {
            return;
        }
        let held = &self.trainers[trainer].held;
        let Some(held) = held.get(&step) else { return };
        let (id, token) = (held.id.clone(), held.cursor.token().clone());
        let known = self.entries[front].fronts.insert(id, (trainer, step));
        if known.is_none() {
            let placed = self.placement(trainer, step, &token, &BTreeSet::new());
            self.assign_all(trainer, step, front, placed);
        }
    }

    fn placement(
        &self,
        trainer: usize,
        step: u64,
        token: &Token,
        away: &BTreeSet<usize>,
    ) -> BTreeMap<usize, Vec<u32>> {
        let mut placed: BTreeMap<_, Vec<_>> = BTreeMap::new();
        let Some(held) = self.trainers[trainer].held.get(&step) else {
            return placed;
        };
        let key = hash::stable(held.id.as_bytes());
        let runners = self.entries.iter().enumerate();
        let runners: Vec<_> = runners.filter(|(i, _)| !away.contains(i)).collect();
        for group in &held.groups {
            let mut all = group.first..group.first + group.samples;
            if all.all(|sample| token.contains(sample)) {
                continue;
            }
            let key = key ^ u64::from(group.index);
            let best = runners
                .iter()
                .max_by_key(|(_, e)| hash::rendezvous(key, &e.name));
            let best = best.map(|(owner, _)| *owner);
            let moved = self.moved.get(&(trainer, step, group.index)).copied();
            let moved = moved.filter(|owner| self.policy.sticky && !away.contains(owner));
            if let Some(owner) = moved.or(best) {
                placed.entry(owner).or_default().push(group.index);
            }
        }
        placed
    }

    fn assign_all(
        &mut self,
        trainer: usize,
        step: u64,
        front: usize,
        placed: BTreeMap<usize, Vec<u32>>,
    ) {
        for (owner, groups) in placed {
            let Some(spec) = self.spec(trainer, step, &groups) else {
                return;
            };
            let after = self.between(self.entries[front].zone, self.entries[owner].zone);
            self.queue.send(self.now, after, Job::Assign(owner, spec));
        }
    }

    fn spec(&self, trainer: usize, step: u64, groups: &[u32]) -> Option<Spec> {
        let trainer = &self.trainers[trainer];
        let held = trainer.held.get(&step)?;
        let groups = groups.iter().map(|i| held.groups[*i as usize].clone());
        Some(Spec {
            lot: held.id.clone(),
            digest: held.digest,
            trainer: trainer.options.name.clone(),
            weight: 1,
            model: self.scenario.model.clone(),
            step,
            version: held.version,
            bound: trainer.options.bound,
            deadline: held.submitted + Duration::from_secs(60),
            scored: false,
            groups: groups.collect(),
        })
    }

    /// Groups arrive at a runner.
    pub(super) fn assign(&mut self, owner: usize, spec: Spec) {
        let life = self.entries[owner].life;
        if self.lives(life) {
            self.step(life, Event::Assign(spec));
        }
    }

    /// A collect arrives at the front.
    pub(super) fn collect(&mut self, asked: Asked) {
        let entry = &self.entries[asked.front];
        let known = entry.fronts.contains_key(&asked.lot);
        if !entry.up || !known {
            let client = self.scenario.client;
            self.queue
                .send(self.now, client, Job::Collected(asked, None));
            return;
        }
        let number = self.next_collect;
        self.next_collect += 1;
        let collect = Collect {
            life: entry.life,
            until: self.now + WAIT,
            turn: 0,
            pending: BTreeMap::new(),
            found: Vec::new(),
            again: BTreeMap::new(),
            away: BTreeSet::new(),
            asked,
        };
        self.collects.insert(number, collect);
        self.round(number);
    }

    /// Asks all runners of the lot once.
    pub(super) fn round(&mut self, number: u64) {
        let Some(collect) = self.collects.get(&number) else {
            return;
        };
        let asked = collect.asked.clone();
        let placed = self.placement(asked.trainer, asked.step, &asked.token, &collect.away);
        for owner in placed.keys().copied() {
            let after = self.between(self.entries[asked.front].zone, self.entries[owner].zone);
            let job = Job::Ask(number, owner, asked.token.clone(), asked.version);
            self.queue.send(self.now, after, job);
        }
        if let Some(collect) = self.collects.get_mut(&number) {
            collect.pending = placed;
        }
    }

    /// A question arrives at a runner.
    pub(super) fn ask(&mut self, number: u64, owner: usize, token: Token, version: Version) {
        let Some(collect) = self.collects.get(&number) else {
            return;
        };
        let (front, until) = (collect.asked.front, collect.until);
        let back = self.between(self.entries[front].zone, self.entries[owner].zone);
        if !self.entries[owner].up {
            self.queue
                .send(self.now, back, Job::Reply(number, owner, None));
            return;
        }
        let call = self.next_call;
        self.next_call += 1;
        let ask = lot::CollectRequest {
            call,
            lot: collect.asked.lot.clone(),
            groups: collect.pending.get(&owner).cloned().unwrap_or_default(),
            token,
            version,
            bound: self.trainers[collect.asked.trainer].options.bound,
            max: MAX,
        };
        let entry = &mut self.entries[owner];
        let life = entry.life;
        let waiting = Waiting {
            collect: number,
            ask: ask.clone(),
        };
        entry.waits.insert(call, waiting);
        let left = until.since(self.now);
        self.queue.send(self.now, left, Job::AskOver(life, call));
        self.step(life, Event::Collect(ask));
    }

    /// A runner answers; without anything new the question goes on waiting.
    pub(super) fn answer(
        &mut self,
        life: Life,
        call: u64,
        samples: Vec<Sample>,
        missing: Vec<u32>,
    ) {
        if !samples.is_empty() || !missing.is_empty() {
            self.reply(life, call, samples, missing);
        }
    }

    fn reply(&mut self, life: Life, call: u64, samples: Vec<Sample>, missing: Vec<u32>) {
        let entry = &mut self.entries[life.entry];
        let Some(waiting) = entry.waits.remove(&call) else {
            return;
        };
        let Some(collect) = self.collects.get(&waiting.collect) else {
            return;
        };
        let front = collect.asked.front;
        let back = self.between(self.entries[front].zone, self.entries[life.entry].zone);
        let job = Job::Reply(waiting.collect, life.entry, Some((samples, missing)));
        self.queue.send(self.now, back, job);
    }

    /// Something new can be collected: waiting questions are asked again.
    pub(super) fn ready(&mut self, life: Life, lot: &str) {
        let waits = self.entries[life.entry].waits.values();
        let asks = waits.filter(|w| w.ask.lot == lot).map(|w| w.ask.clone());
        for ask in asks.collect::<Vec<_>>() {
            self.step(life, Event::Collect(ask));
        }
    }

    /// The longest wait of a question is over.
    pub(super) fn ask_over(&mut self, life: Life, call: u64) {
        if self.lives(life) {
            self.reply(life, call, Vec::new(), Vec::new());
        }
    }

    /// A runner's answer arrives at the front.
    pub(super) fn replied(
        &mut self,
        number: u64,
        owner: usize,
        reply: Option<(Vec<Sample>, Vec<u32>)>,
    ) {
        let Some(collect) = self.collects.get_mut(&number) else {
            return;
        };
        let Some(groups) = collect.pending.remove(&owner) else {
            return;
        };
        collect.turn += 1;
        let turn = collect.turn;
        let Some((samples, missing)) = reply else {
            self.move_groups(number, owner, &groups);
            self.finish_round(number);
            return;
        };
        collect.found.extend(samples);
        let over = collect.pending.is_empty();
        if !missing.is_empty() {
            collect.again.insert(owner, missing);
            self.finish_round(number);
        } else if over {
            self.finish_round(number);
        } else if !collect.found.is_empty() {
            self.queue.send(self.now, GRACE, Job::Grace(number, turn));
        }
    }

    /// The groups of a runner that can't be reached go to the next in rank.
    fn move_groups(&mut self, number: u64, owner: usize, groups: &[u32]) {
        let Some(collect) = self.collects.get_mut(&number) else {
            return;
        };
        collect.away.insert(owner);
        let (asked, away) = (collect.asked.clone(), collect.away.clone());
        let placed = self.placement(asked.trainer, asked.step, &asked.token, &away);
        let again = placed.into_iter().filter_map(|(owner, all)| {
            let moved: Vec<_> = all.into_iter().filter(|g| groups.contains(g)).collect();
            (!moved.is_empty()).then_some((owner, moved))
        });
        let again: BTreeMap<usize, Vec<u32>> = again.collect();
        for (owner, groups) in &again {
            let keys = groups.iter().map(|g| (asked.trainer, asked.step, *g));
            self.moved.extend(keys.map(|key| (key, *owner)));
        }
        if let Some(collect) = self.collects.get_mut(&number) {
            collect.again = again;
        }
    }

    pub(super) fn grace(&mut self, number: u64, turn: u32) {
        if self.collects.get(&number).is_some_and(|c| c.turn == turn) {
            self.finish_round(number);
        }
    }

    /// Merges what was found, and answers or asks again.
    fn finish_round(&mut self, number: u64) {
        let Some(collect) = self.collects.get_mut(&number) else {
            return;
        };
        collect.pending.clear();
        collect.turn += 1;
        let again = std::mem::take(&mut collect.again);
        let found = std::mem::take(&mut collect.found);
        let (asked, until) = (collect.asked.clone(), collect.until);
        self.assign_all(asked.trainer, asked.step, asked.front, again);
        let merge = Merge {
            token: asked.token.clone(),
            version: asked.version,
            bound: self.trainers[asked.trainer].options.bound,
            max: MAX,
        };
        let delivery = merge.deliver(found);
        self.tally.stale += u64::from(delivery.stale);
        let over = self.now >= until;
        if delivery.samples.is_empty() && delivery.remaining > 0 && !over {
            self.queue.send(self.now, ROUND_PAUSE, Job::Round(number));
            return;
        }
        self.collects.remove(&number);
        let answer = Some((delivery.token, delivery.samples));
        self.queue.send(
            self.now,
            self.scenario.client,
            Job::Collected(asked, answer),
        );
    }

    /// The collects of an entry that died are broken off.
    pub(super) fn break_collects(&mut self, life: Life) {
        let all = self.collects.iter();
        let lost = all.filter(|(_, c)| c.life == life).map(|(n, _)| *n);
        for number in lost.collect::<Vec<_>>() {
            if let Some(collect) = self.collects.remove(&number) {
                let job = Job::Collected(collect.asked, None);
                self.queue.send(self.now, self.scenario.client, job);
            }
        }
    }
}
