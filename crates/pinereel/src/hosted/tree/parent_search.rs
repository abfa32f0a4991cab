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
    pub(super) heartbeat: Heartbeat,
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
    fn is_met_by(self, heartbeat: &Heartbeat) -> bool {
        heartbeat.is_fresh() || (self == Self::Any && heartbeat.age.is_none())
    }
}

/// What became of one try.
enum Reply {
    Linked(Box<ParentLink>),
    Referred(Vec<CompactString>),
    /// The target has nothing to tell before then.
    RetryAfter(Duration),
}

impl Node {
    /// Looks for a parent until there is one.
    pub(super) async fn search(&self, requirement: Requirement) -> ParentLink {
        let mut lease_updates = self.parts.duties.looks();
        let mut rounds = 0;
        loop {
            lease_updates.mark_unchanged();
            let targets = self.link_targets();
            let retry_after = match self.search_among(targets.clone(), requirement).await {
                Ok(link) => return link,
                Err(retry_after) => retry_after,
            };
            rounds += 1;
            let retry = sleep(retry_after.unwrap_or_default().max(retry_delay(rounds)));
            // A look may show another holder.
            let other_target = async {
                while lease_updates.changed().await.is_ok() && self.link_targets() == targets {}
            };
            tokio::select! {
                () = retry => {}
                () = other_target => {}
            }
        }
    }

    /// Tries all targets; none if no one takes this instance.
    pub(super) async fn search_one_round(&self) -> Option<ParentLink> {
        let result = self
            .search_among(self.link_targets(), Requirement::Fresh)
            .await;
        result.ok()
    }

    /// Tries targets; if none takes this instance, when one of them may, as far as they said.
    async fn search_among(
        &self,
        targets: Vec<CompactString>,
        requirement: Requirement,
    ) -> Result<ParentLink, Option<Duration>> {
        let targets = targets.into_iter().enumerate();
        let mut retry_after = None;
        let mut attempts: FuturesUnordered<_> = targets
            .map(async |(at, target)| {
                let at = u32::try_from(at).unwrap_or(u32::MAX);
                sleep(TARGET_STAGGER.saturating_mul(at)).await;
                self.follow_referrals(target, requirement).await
            })
            .collect();
        while let Some(result) = attempts.next().await {
            match result {
                Ok(link) => return Ok(link),
                Err(wait) => retry_after = retry_after.max(wait),
            }
        }
        Err(retry_after)
    }

    /// Goes from a target to those that it refers to, until one takes this instance; if none does, when one may.
    async fn follow_referrals(
        &self,
        target: CompactString,
        requirement: Requirement,
    ) -> Result<ParentLink, Option<Duration>> {
        let mut stack = vec![target];
        let mut retry_after = None;
        for _ in 0..MAX_ATTEMPTS_PER_TARGET {
            let Some(address) = stack.pop() else {
                break;
            };
            match timeout(LINK_OPEN_TIMEOUT, self.connect(&address)).await {
                Ok(Some(Reply::Linked(link))) if requirement.is_met_by(&link.heartbeat) => {
                    return Ok(*link);
                }
                // It may be behind this instance itself.
                Ok(Some(Reply::Linked(_))) => {}
                Ok(Some(Reply::RetryAfter(wait))) => retry_after = retry_after.max(Some(wait)),
                // The first one named comes next.
                Ok(Some(Reply::Referred(addresses))) => stack.extend(addresses.into_iter().rev()),
                Ok(None) | Err(_) => {}
            }
        }
        Err(retry_after)
    }

    async fn connect(&self, address: &CompactString) -> Option<Reply> {
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
                Frame::RetryAfter(wait) => Some(Reply::RetryAfter(wait)),
                Frame::Heartbeat(heartbeat) => Some(Reply::Linked(Box::new(ParentLink {
                    socket,
                    address: address.clone(),
                    heartbeat,
                }))),
                Frame::Referral(addresses) => Some(Reply::Referred(addresses)),
                _ => None,
            };
        }
    }
}

fn retry_delay(rounds: u32) -> Duration {
    let doublings = rounds.saturating_sub(ROUNDS_BEFORE_BACKOFF).min(8);
    (MIN_RETRY_DELAY * 2u32.pow(doublings)).min(MAX_RETRY_DELAY)
}
