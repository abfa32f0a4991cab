//! Storage of the shards' logs in the object API: creates, reads and trims segments.
//!
//! The base of a log is the lowest segment number that is still in use. It has an object of its own.

use super::is_owner;
use crate::{
    objects::{Error, Purpose},
    state::{Shared, spawn},
};
use pinereel_api::object::{CLAIMS, Object};
use pinereel_core::claim::{Action, Event, Segment, base_name, segment_name};
use std::rc::Rc;

/// Number of segments that one list call covers: its name prefix leaves out the last digit of the
/// segment number.
const LIST_BLOCK_SIZE: u64 = 10;

/// Carries out one action of a log; returns the event with its result.
pub(super) async fn execute(shared: &Rc<Shared>, shard: u64, action: Action) -> Event {
    let result = match action {
        Action::Create { number, segment } => return create(shared, shard, number, &segment).await,
        Action::Read { from } => read(shared, shard, from).await,
        Action::ReadBase => check_base(shared, shard).await,
        Action::Trim { from, to } => trim(shared, shard, from, to).await,
        Action::Reply { .. } | Action::Settled { .. } => return Event::Tick,
    };
    result.unwrap_or_else(|e| {
        log::warn!(entry = shared.name().as_str(), shard = shard; "claims: read or trim failed: {e}");
        Event::CallFailed
    })
}

async fn create(shared: &Shared, shard: u64, number: u64, segment: &Segment) -> Event {
    let name = segment_name(shard, number);
    let created = shared
        .objects
        .create(Purpose::Claims, CLAIMS, &name, segment);
    match created.await {
        Ok(version) => {
            if let Some(open_log) = shared.claims.open_logs.borrow_mut().get_mut(&shard) {
                open_log.last_created = Some((number, version));
            }
            Event::Created
        }
        Err(Error::Conflict) => Event::Conflict,
        Err(e) => {
            log::warn!(entry = shared.name().as_str(), shard = shard; "claims: write failed: {e}");
            if e.had_no_effect() {
                Event::NotCreated
            } else {
                Event::CreateUnknown
            }
        }
    }
}

/// Reads the segments from `from` up to the first gap, then the base. New segments are rare, so the
/// first one is read alone, and blocks are listed only if it exists.
async fn read(shared: &Shared, shard: u64, from: u64) -> Result<Event, Error> {
    let mut segments = Vec::new();
    let name = segment_name(shard, from);
    if let Some(object) = shared.objects.read(Purpose::Claims, CLAIMS, &name).await? {
        segments.push((from, parse_segment(object)?));
        read_next_blocks(shared, shard, &mut segments).await?;
    }
    let base = read_base_object(shared, shard).await?;
    let base = base.map_or(0, |(base, _)| base);
    Ok(Event::Read { segments, base })
}

async fn read_next_blocks(
    shared: &Shared,
    shard: u64,
    segments: &mut Vec<(u64, Segment)>,
) -> Result<(), Error> {
    loop {
        let next = segments.last().map_or(0, |(number, _)| number + 1);
        for object in list_block(shared, shard, next).await? {
            let number = segments.last().map_or(0, |(number, _)| number + 1);
            if object.name == segment_name(shard, number) {
                segments.push((number, parse_segment(object)?));
            }
        }
        let end = segments.last().map_or(0, |(number, _)| number + 1);
        if end == next || !end.is_multiple_of(LIST_BLOCK_SIZE) {
            return Ok(());
        }
    }
}

/// Lists the objects of the block that holds segment `number`.
async fn list_block(shared: &Shared, shard: u64, number: u64) -> Result<Vec<Object>, Error> {
    let mut prefix = segment_name(shard, number);
    prefix.pop();
    let list = shared.objects.list(Purpose::Claims, CLAIMS, &prefix);
    list.await.map(|list| list.items)
}

fn parse_segment(object: Object) -> Result<Segment, Error> {
    serde_json::from_value(object.value).map_err(|e| Error::Malformed(e.to_string()))
}

/// The shard's base number and the version of its object; `None` before the first trim.
async fn read_base_object(shared: &Shared, shard: u64) -> Result<Option<(u64, u64)>, Error> {
    let name = base_name(shard);
    let Some(object) = shared.objects.read(Purpose::Claims, CLAIMS, &name).await? else {
        return Ok(None);
    };
    match object.value.as_u64() {
        Some(base) => Ok(Some((base, object.version))),
        None => Err(Error::Malformed("base is not a number".into())),
    }
}

/// Reads the base after a create. A created segment below the base is void, and deleted.
async fn check_base(shared: &Rc<Shared>, shard: u64) -> Result<Event, Error> {
    let base = read_base_object(shared, shard)
        .await?
        .map_or(0, |(base, _)| base);
    let created = match shared.claims.open_logs.borrow_mut().get_mut(&shard) {
        Some(open_log) => open_log.last_created.take(),
        None => None,
    };
    if let Some((number, version)) = created
        && number < base
    {
        spawn(shared, async move |shared: Rc<Shared>| {
            delete_segment(&shared, &segment_name(shard, number), version).await;
        });
    }
    Ok(Event::Base(base))
}

/// Raises the base, then deletes the segments below it. Only the shard's owner trims.
async fn trim(shared: &Shared, shard: u64, from: u64, to: u64) -> Result<Event, Error> {
    let base_object = read_base_object(shared, shard).await?;
    let current = base_object.map_or(0, |(base, _)| base);
    if current != from || !is_owner(shared, shard) {
        return Ok(Event::Base(current));
    }
    let name = base_name(shard);
    let objects = &shared.objects;
    let raised = match base_object {
        Some((_, version)) => {
            objects
                .update(Purpose::Claims, CLAIMS, &name, version, &to)
                .await
        }
        None => objects.create(Purpose::Claims, CLAIMS, &name, &to).await,
    };
    match raised {
        Ok(_) => {
            delete_below(shared, shard, from, to).await?;
            Ok(Event::Base(to))
        }
        Err(Error::Conflict) => {
            let current = read_base_object(shared, shard)
                .await?
                .map_or(0, |(base, _)| base);
            Ok(Event::Base(current))
        }
        // The next read shows whether the write took effect, and the trim is retried.
        Err(e) => Err(e),
    }
}

async fn delete_below(shared: &Shared, shard: u64, from: u64, to: u64) -> Result<(), Error> {
    let end = segment_name(shard, to);
    let mut block = from - from % LIST_BLOCK_SIZE;
    while block < to {
        for object in list_block(shared, shard, block).await? {
            if object.name.as_str() < end.as_str() {
                delete_segment(shared, &object.name, object.version).await;
            }
        }
        block += LIST_BLOCK_SIZE;
    }
    Ok(())
}

/// Deletes a segment; a failure is only logged, as a leftover segment merely takes space.
async fn delete_segment(shared: &Shared, name: &str, version: u64) {
    let deleted = shared
        .objects
        .delete(Purpose::Claims, CLAIMS, name, version);
    if let Err(e) = deleted.await {
        log::warn!(entry = shared.name().as_str(); "claims: deleting segment {name} failed: {e}");
    }
}
