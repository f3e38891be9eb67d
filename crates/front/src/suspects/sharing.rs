//! News of suspected contents: told to all fronts at once, and kept in the coordination store.
//!
//! A caller comes back at any front, within a fraction of a second. Fronts are told directly, as a watch of the store at each of hundreds of
//! fronts has its price all day; the store's records are read at the start, and when this node was out of touch and may have missed news.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{Request, SuspectNews, SuspectedContent};
use tokio::sync::mpsc;

use super::Suspects;
use super::content::ContentDigest;
use super::record::{PREFIX, SuspectRecord};
use crate::coordination::{Coordination, CoordinationError, Record, SwapResult};
use crate::nodes::{NodeRole, Nodes};

/// Time for a front to answer news. One that is silent for longer is out of touch, and reads the records when it is back.
const TELL_TIMEOUT: Duration = Duration::from_millis(500);

/// Which fronts there are is read again before news are told, unless it was read within this time: one content makes a few news in a second.
const FRONTS_AGE: Duration = Duration::from_secs(1);

/// Longest wait for that: news matter within a caller's pause before it comes back.
const FRONTS_LIMIT: Duration = Duration::from_millis(300);

/// News within this time share one message: an instance ends under all that ran there at once.
const GATHER: Duration = Duration::from_millis(10);

/// Fronts that are told at once: a weak front connects to some hundred others in less than a second so.
const TOLD_AT_ONCE: usize = 32;

/// Lease of a record: as long as a first hold, so that the record goes when the content may be tried again.
const RECORD_LEASE: Duration = super::ledger::FIRST_HOLD;

/// Tries to write one record against writes of other nodes.
const WRITE_TRIES: u32 = 5;

/// Between looks whether this node was out of touch, and tries to write what could not be written.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// Without an answer of the store for so long this node may have been frozen or cut off, and missed news.
const OUT_OF_TOUCH: Duration = Duration::from_millis(2_500);

/// A node that has just started is not known to all others yet: it reads the records once more after this time, in which others
/// read which nodes there are.
const SECOND_READ: Duration = Duration::from_secs(5);

/// How new a reading of the store must be.
#[derive(Debug, Clone, Copy)]
enum Reading {
    /// It may be seconds old, for a tenth of the price: nothing was missed but what came before the start.
    Stale,
    /// News may have been missed until just now.
    Newest,
}

/// Shares what this node knows of suspected contents.
pub struct SuspectSharing {
    /// What is known here.
    pub suspects: Suspects,
    /// The other fronts.
    pub nodes: Nodes,
    /// The store.
    pub coordination: Arc<dyn Coordination>,
}

impl SuspectSharing {
    /// Shares for as long as the future is polled; `news` are contents of which something new is known here.
    pub async fn run(self, news: mpsc::Receiver<ContentDigest>) {
        let (told, kept) = mpsc::unbounded_channel();
        tokio::join!(self.tell_all(news, told), self.keep_all(kept));
    }

    /// Tells all fronts each news. A front that is silent holds up neither the others nor later news.
    async fn tell_all(
        &self,
        mut news: mpsc::Receiver<ContentDigest>,
        told: mpsc::UnboundedSender<ContentDigest>,
    ) {
        let mut telling: FuturesUnordered<_> = FuturesUnordered::new();
        loop {
            tokio::select! {
                content = news.recv() => {
                    let Some(content) = content else {
                        return;
                    };
                    tokio::time::sleep(GATHER).await;
                    let mut contents = BTreeSet::from([content]);
                    while let Ok(content) = news.try_recv() {
                        contents.insert(content);
                    }
                    for content in &contents {
                        // The keeper is there as long as this loop.
                        let _ = told.send(*content);
                    }
                    telling.push(self.tell(contents));
                }
                Some(()) = telling.next() => {}
            }
        }
    }

    /// Tells all other fronts what is known of some contents.
    async fn tell(&self, contents: BTreeSet<ContentDigest>) {
        let known = contents.iter().map(|content| SuspectedContent {
            content: content.to_bits(),
            ends: self.suspects.ends(*content),
        });
        let kind = RequestKind::suspect_news(SuspectNews {
            contents: known.collect(),
        });
        let (begun, mut told) = (Instant::now(), 0);
        self.learn_fronts().await;
        let own = self.nodes.own().node;
        let mut fronts = self.nodes.with_role(NodeRole::Front);
        fronts.retain(|front| front.node != own);
        let count = fronts.len();
        let mut others = fronts.into_iter();
        let call = |node: String| {
            let request = Request { kind: kind.clone() };
            async move {
                let told = self.nodes.call(&node, request, TELL_TIMEOUT).await;
                told.inspect_err(|error| {
                    log::info!("event=suspects_not_announced front={node} cause=\"{error}\"");
                })
                .is_ok()
            }
        };
        let mut calls: FuturesUnordered<_> = FuturesUnordered::new();
        loop {
            while calls.len() < TOLD_AT_ONCE
                && let Some(front) = others.next()
            {
                calls.push(call(front.node));
            }
            match calls.next().await {
                Some(was_told) => told += usize::from(was_told),
                None => break,
            }
        }
        log::info!(
            "event=suspects_announced contents={contents:?} fronts={told} of={count} elapsed_ms={}",
            begun.elapsed().as_millis()
        );
    }

    /// Reads which fronts there are: a front without work with others hears of new ones up to 12 s late. Without an answer those that are known
    /// are told.
    async fn learn_fronts(&self) {
        let reading = self.nodes.refresh(self.coordination.as_ref(), FRONTS_AGE);
        match tokio::time::timeout(FRONTS_LIMIT, reading).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::info!("event=fronts_not_read cause=\"{error}\""),
            Err(_) => log::info!("event=fronts_not_read cause=\"no answer in time\""),
        }
    }

    /// Writes all news into the store, and reads what it holds when this node may have missed news.
    async fn keep_all(&self, mut news: mpsc::UnboundedReceiver<ContentDigest>) {
        let started = Instant::now();
        let mut unwritten = BTreeSet::new();
        let mut has_second_read = false;
        let mut wanted = Some(Reading::Stale);
        loop {
            if let Some(reading) = wanted
                && self.is_in_touch()
                && self.read_all(reading).await.is_ok()
            {
                wanted = None;
            }
            let received = tokio::time::timeout(LOOK_PAUSE, news.recv()).await;
            match received {
                Ok(Some(content)) => {
                    unwritten.insert(content);
                }
                Ok(None) => return,
                Err(_) => {}
            }
            self.write_all(&mut unwritten).await;
            if !has_second_read && started.elapsed() > SECOND_READ {
                has_second_read = true;
                wanted.get_or_insert(Reading::Stale);
            }
            if !self.is_in_touch() {
                wanted = Some(Reading::Newest);
            }
        }
    }

    /// Whether the store answered this node lately. Reading it before it does would cost a call a second at each node that is cut off.
    fn is_in_touch(&self) -> bool {
        let contact = self.nodes.last_store_contact();
        contact.is_none_or(|at| at.elapsed() < OUT_OF_TOUCH)
    }

    /// Takes what the store holds.
    async fn read_all(&self, reading: Reading) -> Result<(), CoordinationError> {
        let listing = match reading {
            Reading::Stale => self.coordination.list_stale(PREFIX).await,
            Reading::Newest => self.coordination.list(PREFIX).await,
        };
        let records = listing
            .inspect_err(|error| log::warn!("event=suspects_not_read cause=\"{error}\""))?
            .records;
        let known = records.iter().filter_map(read_or_log);
        for (content, record) in known {
            self.suspects.take_ends(content, &record.ends);
        }
        Ok(())
    }

    /// Writes what is known of contents; those that could not be written stay for the next time.
    async fn write_all(&self, unwritten: &mut BTreeSet<ContentDigest>) {
        let contents: Vec<ContentDigest> = unwritten.iter().copied().collect();
        for content in contents {
            match self.write(content).await {
                Ok(()) => {
                    unwritten.remove(&content);
                }
                Err(error) => {
                    log::warn!("event=suspect_not_written content={content} cause=\"{error}\"");
                    return;
                }
            }
        }
    }

    async fn write(&self, content: ContentDigest) -> Result<(), CoordinationError> {
        let ends = self.suspects.ends(content);
        if ends.is_empty() {
            return self.erase(content).await;
        }
        let key = SuspectRecord::key(content);
        let mut found = self.coordination.get(&key).await?;
        let lease = self.coordination.grant(RECORD_LEASE).await?;
        for _ in 0..WRITE_TRIES {
            let mut record = SuspectRecord {
                ends: Vec::new(),
                lease,
            };
            if let Some((_, known)) = found.as_ref().and_then(read_or_log) {
                self.suspects.take_ends(content, &known.ends);
                record.add(known.ends);
            }
            record.add(self.suspects.ends(content));
            let revision = found.as_ref().map_or(0, |record| record.revision);
            let value = serde_json::to_vec(&record).unwrap_or_default();
            match self
                .coordination
                .swap(&key, revision, value, Some(lease))
                .await?
            {
                SwapResult::Won { .. } => return Ok(()),
                SwapResult::Lost(record) => found = record,
            }
        }
        Err(CoordinationError::Refused(
            "other nodes write it too".to_owned(),
        ))
    }

    /// Ends the record of a content that an instance bore.
    async fn erase(&self, content: ContentDigest) -> Result<(), CoordinationError> {
        let key = SuspectRecord::key(content);
        let found = self.coordination.get(&key).await?;
        match found.as_ref().and_then(read_or_log) {
            Some((_, record)) => self.coordination.revoke(record.lease).await,
            None => Ok(()),
        }
    }
}

fn read_or_log(record: &Record) -> Option<(ContentDigest, SuspectRecord)> {
    SuspectRecord::read(record)
        .inspect_err(|cause| {
            log::error!(
                "event=suspect_unreadable key={} revision={} cause=\"{cause}\"",
                record.key,
                record.revision
            );
        })
        .ok()
}
