//! Learns changes of the store from peers.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_feed::PeerDescriptor;
use bergamot_peer::{StoreUpdates, UpdateRequest, UpdateResponse};
use bergamot_ports::{StateStore, StoreCatalog};
use bergamot_types::prelude::*;
use tokio::time::Instant;

use super::{CONFIRM_PERIOD, SyncDuty};

/// Time between two questions. Changes are known here within it and the reader's own pause, a
/// fraction of the time in which a leaving upstream must get no new work.
pub(super) const ASK_PERIOD: Duration = Duration::from_millis(250);

/// The oldest news that counts: the time between two confirmations at the reader and its pause. With
/// the time between two questions it stays below the two seconds in which a leaving upstream must
/// get no new work.
const MAX_AGE: Millis = Millis(1_300);

/// Why a peer's answer does not count.
#[derive(Debug, thiserror::Error)]
pub(super) enum NewsError {
    #[error("{0}")]
    NoAnswer(#[from] bergamot_peer::Error),
    #[error("its news is {0} old")]
    Stale(Millis),
    #[error("it has its news from another peer")]
    Relayed,
    #[error("it does not know what happened since")]
    Forgotten,
    #[error("it has not read the store yet")]
    NotReady,
    #[error("its address is not known")]
    NoAddress,
}

impl NewsError {
    /// Whether the peer answered, and had nothing fresh.
    const fn is_heard(&self) -> bool {
        matches!(self, Self::Stale(_) | Self::NotReady)
    }
}

/// What one answer brought.
struct NewsTold {
    has_changes: bool,
    has_more: bool,
}

impl<Store, Catalog> SyncDuty<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    /// Ranks the peers anew, by the entry VMs that are known.
    pub(super) fn rank_peers(&mut self) {
        let site = &self.shared.site;
        let own = PeerDescriptor {
            vm: site.vm.to_string(),
            failure_domain: site.failure_domain.clone(),
            millicores: site.millicores,
        };
        let peers = self.known.entries.values().map(|entry| PeerDescriptor {
            vm: entry.vm.clone(),
            failure_domain: entry.failure_domain.clone(),
            millicores: entry.millicores,
        });
        self.ranking.rank_peers(peers, &own);
    }

    /// Asks these peers, one after another. False when none of them has fresh news. Where one knows
    /// too little of the past, everything is to be read anew.
    pub(super) async fn ask_peers(&mut self, peers: &[String]) -> bool {
        for vm in peers {
            let Err(error) = self.ask_peer(vm).await else {
                self.failures.swap_remove(vm);
                self.note_source(vm);
                return true;
            };
            self.note_unusable(vm, &error);
            if matches!(error, NewsError::Forgotten) {
                self.known.revision = None;
                return true;
            }
            let now = self.shared.clock.now();
            if error.is_heard() {
                self.shared.note_peer_away(now);
            }
            self.ranking.back_off(vm, self.known.is_away, now);
        }
        false
    }

    /// Logs and counts an answer of a peer that does not count. One line for each change of the reason: while the
    /// store is away each VM hears the same four times a second.
    pub(super) fn note_unusable(&mut self, vm: &str, error: &NewsError) {
        let kind = std::mem::discriminant(error);
        let before = self.failures.insert(vm.to_owned(), kind);
        if before != Some(kind) {
            log::info!("event=news_not_usable peer={vm} reason=\"{error}\"");
        }
        self.count_news("failed");
    }

    /// Asks one peer until it has nothing more to tell. What it told counts also when it fails then.
    async fn ask_peer(&mut self, vm: &str) -> Result<(), NewsError> {
        let entry = self.known.entries.get(vm);
        let addr = entry.ok_or(NewsError::NoAddress)?.peer_addr;
        let mut has_changes = false;
        let outcome = loop {
            match self.ask_once(addr).await {
                Ok(told) => {
                    has_changes |= told.has_changes;
                    if !told.has_more {
                        break Ok(());
                    }
                }
                Err(error) => break Err(error),
            }
        };
        if has_changes {
            self.publish();
        }
        outcome
    }

    /// Asks for the next changes.
    async fn ask_once(&mut self, addr: SocketAddr) -> Result<NewsTold, NewsError> {
        let asked_at = self.shared.clock.now();
        let known = self.known.revision.unwrap_or(0);
        let question = UpdateRequest {
            after: known,
            unaffected_until: known,
            lacks_config_after: self
                .has_failed_confirm
                .then_some(self.known.config_revision),
        };
        let news = self.ask(addr, question).await?;
        let told = NewsTold {
            has_changes: !news.changes.is_empty() || news.config.is_some(),
            has_more: news.has_more,
        };
        self.take_news(news, asked_at, addr).await;
        Ok(told)
    }

    /// Asks one question. An answer that does not count is an error.
    pub(super) async fn ask(
        &mut self,
        addr: SocketAddr,
        question: UpdateRequest,
    ) -> Result<StoreUpdates, NewsError> {
        let asked_at = self.shared.clock.now();
        let news = match self.caller.ask(addr, question).await? {
            UpdateResponse::Changes(news) => news,
            UpdateResponse::Forgotten => return Err(NewsError::Forgotten),
            UpdateResponse::NotReady => return Err(NewsError::NotReady),
        };
        // Only a VM that cannot read the store itself makes do with a peer that cannot either: else
        // some peer that can would stop reading it.
        if news.is_relayed && !self.known.is_away {
            return Err(NewsError::Relayed);
        }
        let age = self.shared.clock.now().since(asked_at) + news.age;
        if age > MAX_AGE {
            return Err(NewsError::Stale(age));
        }
        self.count_news("answered");
        Ok(news)
    }

    pub(super) fn count_news(&self, outcome: &str) {
        let news = &self.shared.metrics.news;
        news.with_label_values(&[outcome]).inc();
    }

    /// Takes over what a peer told when it was asked at `asked_at`. Its ages count from then, which
    /// makes them too old rather than too young.
    async fn take_news(&mut self, mut news: StoreUpdates, asked_at: Millis, addr: SocketAddr) {
        self.note_success();
        self.take_return(&news, asked_at);
        let now = self.shared.clock.now();
        for change in std::mem::take(&mut news.changes) {
            self.note_change(change, now);
        }
        let fresh_at = Millis(asked_at.0.saturating_sub(news.age.0));
        let is_whole = !news.has_more;
        self.reach(news.revision);
        if is_whole {
            self.board.borrow_mut().freshness.mark_current(fresh_at);
        }
        if let Some(item) = &news.config {
            self.known.apply_item(&self.catalog, item);
            self.has_failed_confirm = false;
        }
        self.take_confirmation(&news, asked_at, addr).await;
    }

    /// Takes over when the store came back, as a peer saw it.
    pub(super) fn take_return(&mut self, news: &StoreUpdates, asked_at: Millis) {
        if let Some(since) = news.since_return {
            let returned_at = Millis(asked_at.0.saturating_sub(since.0));
            self.known.note_return(returned_at);
        }
    }

    /// Takes over the confirmation of the configuration by the peer at `addr`, or reads the one that it has heard of.
    pub(super) async fn take_confirmation(
        &mut self,
        news: &StoreUpdates,
        asked_at: Millis,
        addr: SocketAddr,
    ) {
        let known = self.known.config_revision;
        if news.config_revision > known && !self.read_config_of(addr).await {
            self.confirm_when_due().await;
        }
        // A peer that lags behind confirms nothing.
        if news.config_revision == known && self.known.config.is_some() {
            let confirmed_at = asked_at.0.saturating_sub(news.config_age.0);
            self.shared.note_confirmed(Millis(confirmed_at));
        }
    }

    /// Reads the configuration that the peer at `addr` has. False when it did not tell it.
    ///
    /// Read from the store by each VM, configurations of 1,500 routes cost 2,245 calls on a day (195 VMs; counted from
    /// the logs).
    async fn read_config_of(&mut self, addr: SocketAddr) -> bool {
        let asked_at = self.shared.clock.now();
        let known = self.known.revision.unwrap_or(0);
        let question = UpdateRequest {
            after: known,
            unaffected_until: known,
            lacks_config_after: Some(self.known.config_revision),
        };
        let news = match self.ask(addr, question).await {
            Ok(news) => news,
            Err(error) => {
                log::info!("event=news_not_usable peer={addr} reason=\"{error}\"");
                return false;
            }
        };
        let Some(item) = &news.config else {
            return false;
        };
        self.known.apply_item(&self.catalog, item);
        if self.known.config_revision != news.config_revision {
            return false;
        }
        let confirmed_at = asked_at.0.saturating_sub(news.config_age.0);
        self.shared.note_confirmed(Millis(confirmed_at));
        self.publish();
        true
    }

    /// Reads a configuration that a peer has heard of.
    async fn confirm_when_due(&mut self) {
        if self.has_failed_confirm && Instant::now() < self.confirm_at {
            return;
        }
        let outcome = self.confirm().await;
        self.has_failed_confirm = outcome.is_err();
        if let Err(error) = outcome {
            log::warn!("event=config_not_read reason={error:?}");
            self.store.reset();
            self.confirm_at = Instant::now() + CONFIRM_PERIOD;
        }
    }
}
