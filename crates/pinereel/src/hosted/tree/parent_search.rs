//! Search for a parent: connects to all candidate addresses in parallel, and follows referrals.

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

/// Delay between the first rounds.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Rounds after which the delay doubles with each further round. By then the root duty has a holder, unless
/// the store is unavailable.
const ROUNDS_BEFORE_BACKOFF: u32 = 6;
/// Longest delay between two rounds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay between the attempts at two targets, so that the first one is used if it is available.
const TARGET_STAGGER: Duration = Duration::from_millis(60);
/// Most instances that are tried for one target: the target itself, and those that it and the next ones
/// refer to. Each level refers to three, and four levels of 32 children reach a million instances.
const MAX_ATTEMPTS_PER_TARGET: usize = 12;

type Socket = WebSocketStream<MaybeTlsStream<TcpStream>>;

/// An open link to a parent.
pub(super) struct ParentLink {
    pub(super) socket: Socket,
    pub(super) address: CompactString,
    /// The parent's first heartbeat.
    pub(super) heartbeat: Heartbeat,
}

/// What data a parent must have to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requirement {
    /// Fresh data. Required while this instance reads the store, or others wait for the data that it finds.
    Fresh,
    /// Fresh data, or no data yet.
    Any,
}

impl Requirement {
    fn is_met_by(self, heartbeat: &Heartbeat) -> bool {
        heartbeat.is_fresh() || (self == Self::Any && heartbeat.age.is_none())
    }
}

/// What an instance answers to a [`Hello`].
enum Reply {
    Linked(Box<ParentLink>),
    Referred(Vec<CompactString>),
    /// The instance has no fresh data; it may be tried again after this time.
    RetryAfter(Duration),
}

impl Node {
    /// Searches in rounds until a parent is found.
    pub(super) async fn search(&self, requirement: Requirement) -> ParentLink {
        let mut lease_updates = self.deps.duties.subscribe_polls();
        let mut rounds = 0;
        loop {
            lease_updates.mark_unchanged();
            let targets = self.search_targets();
            let retry_after = match self.search_among(targets.clone(), requirement).await {
                Ok(link) => return link,
                Err(retry_after) => retry_after,
            };
            rounds += 1;
            let retry = sleep(retry_after.unwrap_or_default().max(retry_delay(rounds)));
            // A new reading of the leases may show another holder.
            let other_target = async {
                while lease_updates.changed().await.is_ok() && self.search_targets() == targets {}
            };
            tokio::select! {
                () = retry => {}
                () = other_target => {}
                () = self.introduced.notified() => {}
            }
        }
    }

    /// Searches for one round; `None` if no instance with fresh data accepts this one.
    pub(super) async fn search_one_round(&self) -> Option<ParentLink> {
        let result = self
            .search_among(self.search_targets(), Requirement::Fresh)
            .await;
        result.ok()
    }

    /// Tries all targets concurrently.
    ///
    /// # Errors
    /// If none accepts this instance: the longest retry time that was received, if any.
    async fn search_among(
        &self,
        targets: Vec<CompactString>,
        requirement: Requirement,
    ) -> Result<ParentLink, Option<Duration>> {
        let targets = targets.into_iter().enumerate();
        let mut retry_after = None;
        let mut attempts: FuturesUnordered<_> = targets
            .map(async |(index, target)| {
                let index = u32::try_from(index).unwrap_or(u32::MAX);
                sleep(TARGET_STAGGER.saturating_mul(index)).await;
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

    /// Tries a target and the instances that it refers to, depth first, until one accepts this instance.
    ///
    /// # Errors
    /// If none does: the longest retry time that was received, if any.
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
                Ok(Some(Reply::Linked(link)))
                    if requirement.is_met_by(&link.heartbeat)
                        && !link.heartbeat.ancestors.contains(&self.deps.peer.address) =>
                {
                    return Ok(*link);
                }
                // It is below this instance in the tree, or may be, as its data are stale.
                Ok(Some(Reply::Linked(_))) => {}
                Ok(Some(Reply::RetryAfter(wait))) => retry_after = retry_after.max(Some(wait)),
                // The first of the addresses is tried next.
                Ok(Some(Reply::Referred(addresses))) => stack.extend(addresses.into_iter().rev()),
                Ok(None) | Err(_) => {}
            }
        }
        Err(retry_after)
    }

    /// Connects to an instance, sends it a [`Hello`] and waits for the reply; `None` if the link fails.
    async fn connect(&self, address: &CompactString) -> Option<Reply> {
        let mut socket = open_link(address).await?;
        let hello = Frame::Hello(Hello {
            peer: self.deps.peer.clone(),
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

/// Opens a connection to an instance; `None` if that fails.
pub(super) async fn open_link(address: &CompactString) -> Option<Socket> {
    let url = format!("ws://{address}/");
    let opened = connect_async_with_config(url, Some(link_config()), true).await;
    let (socket, _) = opened.ok()?;
    Some(socket)
}

/// Delay after a number of rounds.
fn retry_delay(rounds: u32) -> Duration {
    let doublings = rounds.saturating_sub(ROUNDS_BEFORE_BACKOFF).min(8);
    (MIN_RETRY_DELAY * 2u32.pow(doublings)).min(MAX_RETRY_DELAY)
}
