//! Looking for a parent.

use super::{Frame, Hello, LINK_OPEN_TIMEOUT, Node, link_config};
use compact_str::CompactString;
use futures_util::{SinkExt as _, StreamExt as _, stream::FuturesUnordered};
use pinereel_core::tree::Heartbeat;
use std::time::Duration;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};
use tokio_tungstenite::{
    MaybeTlsStream, WebSocketStream, connect_async_with_config, tungstenite::Message,
};

/// Pause between the first rounds.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Rounds after which the pause doubles with each further one: a holder is there by then, unless the
/// store is away.
const ROUNDS_BEFORE_BACKOFF: u32 = 6;
/// Longest pause.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Each further target is tried so much later, so that the first one is taken if it is there.
const TARGET_STAGGER: Duration = Duration::from_millis(60);
/// Parents that are asked from one target on: three are named at each level, and four levels of 32 children
/// reach a million instances.
const MAX_ATTEMPTS_PER_TARGET: usize = 12;

/// A link to a parent.
pub(super) struct ParentLink {
    pub(super) socket: WebSocketStream<MaybeTlsStream<TcpStream>>,
    pub(super) address: CompactString,
    /// The parent's first sign of life.
    pub(super) alive: Heartbeat,
}

/// What a parent must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requirement {
    /// Fresh news: this instance reads the store, or others wait for what it finds.
    Fresh,
    /// Fresh news, or the prospect of some.
    Any,
}

impl Requirement {
    fn is_met_by(self, alive: &Heartbeat) -> bool {
        alive.is_fresh() || (self == Self::Any && alive.age.is_none())
    }
}

/// What became of one try.
enum Attempt {
    Linked(Box<ParentLink>),
    Referred(Vec<CompactString>),
    /// The target has nothing to tell before then.
    RetryAfter(Duration),
}

impl Node {
    /// Looks for a parent until there is one.
    pub(super) async fn search(&self, requirement: Requirement) -> ParentLink {
        let mut looks = self.parts.duties.looks();
        let mut rounds = 0;
        loop {
            looks.mark_unchanged();
            let targets = self.targets();
            let later = match self.search_among(targets.clone(), requirement).await {
                Ok(link) => return link,
                Err(later) => later,
            };
            rounds += 1;
            let next = sleep(later.unwrap_or_default().max(pause(rounds)));
            // A look may show another holder.
            let other_target =
                async { while looks.changed().await.is_ok() && self.targets() == targets {} };
            tokio::select! {
                () = next => {}
                () = other_target => {}
            }
        }
    }

    /// Tries all targets; none if no one takes this instance.
    pub(super) async fn search_once(&self) -> Option<ParentLink> {
        let found = self.search_among(self.targets(), Requirement::Fresh).await;
        found.ok()
    }

    /// Tries targets; if none takes this instance, when one of them may, as far as they said.
    async fn search_among(
        &self,
        targets: Vec<CompactString>,
        requirement: Requirement,
    ) -> Result<ParentLink, Option<Duration>> {
        let targets = targets.into_iter().enumerate();
        let mut later = None;
        let mut tries: FuturesUnordered<_> = targets
            .map(async |(at, target)| {
                let at = u32::try_from(at).unwrap_or(u32::MAX);
                sleep(TARGET_STAGGER.saturating_mul(at)).await;
                self.follow_referrals(target, requirement).await
            })
            .collect();
        while let Some(found) = tries.next().await {
            match found {
                Ok(link) => return Ok(link),
                Err(wait) => later = later.max(wait),
            }
        }
        Err(later)
    }

    /// Goes from a target to those that it refers to, until one takes this instance; if none does, when one may.
    async fn follow_referrals(
        &self,
        target: CompactString,
        requirement: Requirement,
    ) -> Result<ParentLink, Option<Duration>> {
        let mut left = vec![target];
        let mut later = None;
        for _ in 0..MAX_ATTEMPTS_PER_TARGET {
            let Some(address) = left.pop() else {
                break;
            };
            match timeout(LINK_OPEN_TIMEOUT, self.open(&address)).await {
                Ok(Some(Attempt::Linked(link))) if requirement.is_met_by(&link.alive) => {
                    return Ok(*link);
                }
                // It may be behind this instance itself.
                Ok(Some(Attempt::Linked(_))) => {}
                Ok(Some(Attempt::RetryAfter(wait))) => later = later.max(Some(wait)),
                // The first one named comes next.
                Ok(Some(Attempt::Referred(addresses))) => left.extend(addresses.into_iter().rev()),
                Ok(None) | Err(_) => {}
            }
        }
        Err(later)
    }

    async fn open(&self, address: &CompactString) -> Option<Attempt> {
        let (mut socket, _) =
            connect_async_with_config(format!("ws://{address}/"), Some(link_config()), true)
                .await
                .ok()?;
        let hello = Frame::Hello(Hello {
            peer: self.parts.peer.clone(),
            topics: self.subscriptions(),
        });
        let hello = hello.encode()?;
        socket.send(Message::Binary(hello.into())).await.ok()?;
        loop {
            let Message::Binary(bytes) = socket.next().await?.ok()? else {
                continue;
            };
            return match Frame::decode(&bytes)? {
                Frame::RetryAfter(wait) => Some(Attempt::RetryAfter(wait)),
                Frame::Heartbeat(alive) => Some(Attempt::Linked(Box::new(ParentLink {
                    socket,
                    address: address.clone(),
                    alive,
                }))),
                Frame::Referral(addresses) => Some(Attempt::Referred(addresses)),
                _ => None,
            };
        }
    }
}

fn pause(rounds: u32) -> Duration {
    let doublings = rounds.saturating_sub(ROUNDS_BEFORE_BACKOFF).min(8);
    (MIN_RETRY_DELAY * 2u32.pow(doublings)).min(MAX_RETRY_DELAY)
}
