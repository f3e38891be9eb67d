//! Shares suspects with other fronts, directly and through the coordination store.
//!
//! A client may retry at any front within a fraction of a second, so fronts are notified directly;
//! a permanent watch of the store at each of hundreds of fronts would cost more. The store's
//! records are read at the start and when this node may have missed updates.

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

/// Timeout of an update to a front. A front that is silent for longer reads the records once it is
/// connected again.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum age of the list of fronts when an update is sent, as one content changes several times a
/// second.
const FRONTS_MAX_AGE: Duration = Duration::from_secs(1);

/// Timeout for reading that list, so that the update arrives before the client retries.
const FRONTS_TIMEOUT: Duration = Duration::from_millis(300);

/// Updates within this time share one message, as a crash affects all runs of an instance at once.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Maximum number of fronts notified concurrently, which lets a slow front reach some hundred
/// others within a second.
const MAX_CONCURRENT_UPDATES: usize = 32;

/// Lease time of a record; equals the first hold, after which the content may be tried again.
const RECORD_LEASE_TIME: Duration = super::ledger::FIRST_HOLD;

/// Maximum number of attempts to write a record while other nodes write it too.
const MAX_WRITE_ATTEMPTS: u32 = 5;

/// Interval between checks for lost contact, and between retries of failed writes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a response of the store after which this node may have been frozen or partitioned
/// and missed updates.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Delay of the second read after the start: by then all other nodes know of this one and notify
/// it.
const SECOND_READ_DELAY: Duration = Duration::from_secs(5);

/// Required freshness of a read of the store.
#[derive(Debug, Clone, Copy)]
enum Freshness {
    /// May be seconds old and costs a tenth of a current read. Sufficient at the start, as only
    /// earlier updates were missed.
    Stale,
    /// Must be current, as updates may have been missed until just now.
    Newest,
}

/// Shares this node's knowledge of suspects.
pub struct SuspectSharing {
    /// Suspects known here.
    pub suspects: Suspects,
    /// All nodes, among them the other fronts.
    pub nodes: Nodes,
    /// Coordination store.
    pub coordination: Arc<dyn Coordination>,
}

impl SuspectSharing {
    /// Shares until the future is dropped; `updates` delivers the contents that changed here.
    pub async fn run(self, updates: mpsc::Receiver<ContentDigest>) {
        let (announced, to_store) = mpsc::unbounded_channel();
        tokio::join!(
            self.announce_all(updates, announced),
            self.store_all(to_store)
        );
    }

    /// Sends each change to all fronts. A silent front delays neither the others nor later changes.
    async fn announce_all(
        &self,
        mut updates: mpsc::Receiver<ContentDigest>,
        announced: mpsc::UnboundedSender<ContentDigest>,
    ) {
        let mut announcements: FuturesUnordered<_> = FuturesUnordered::new();
        loop {
            tokio::select! {
                content = updates.recv() => {
                    let Some(content) = content else {
                        return;
                    };
                    tokio::time::sleep(BATCH_DELAY).await;
                    let mut contents = BTreeSet::from([content]);
                    while let Ok(content) = updates.try_recv() {
                        contents.insert(content);
                    }
                    for content in &contents {
                        // The receiver lives as long as this loop.
                        let _ = announced.send(*content);
                    }
                    announcements.push(self.announce(contents));
                }
                Some(()) = announcements.next() => {}
            }
        }
    }

    /// Sends the crashes known for some contents to all other fronts.
    async fn announce(&self, contents: BTreeSet<ContentDigest>) {
        let known = contents.iter().map(|content| SuspectedContent {
            content: content.to_bits(),
            ends: self.suspects.crashes(*content),
        });
        let kind = RequestKind::suspect_news(SuspectNews {
            contents: known.collect(),
        });
        let (started_at, mut notified) = (Instant::now(), 0);
        self.refresh_fronts().await;
        let own = self.nodes.own().node;
        let mut fronts = self.nodes.with_role(NodeRole::Front);
        fronts.retain(|front| front.node != own);
        let count = fronts.len();
        let mut others = fronts.into_iter();
        let call = |node: String| {
            let request = Request { kind: kind.clone() };
            async move {
                let notified = self.nodes.call(&node, request, UPDATE_TIMEOUT).await;
                notified
                    .inspect_err(|error| {
                        log::info!("event=suspects_not_announced front={node} cause=\"{error}\"");
                    })
                    .is_ok()
            }
        };
        let mut calls: FuturesUnordered<_> = FuturesUnordered::new();
        loop {
            while calls.len() < MAX_CONCURRENT_UPDATES
                && let Some(front) = others.next()
            {
                calls.push(call(front.node));
            }
            match calls.next().await {
                Some(was_notified) => notified += usize::from(was_notified),
                None => break,
            }
        }
        log::info!(
            "event=suspects_announced contents={contents:?} fronts={notified} of={count} elapsed_ms={}",
            started_at.elapsed().as_millis()
        );
    }

    /// Refreshes the list of fronts, which may be 12 s old at an idle front. Without a response of
    /// the store the known fronts are used.
    async fn refresh_fronts(&self) {
        let refresh = self
            .nodes
            .refresh(self.coordination.as_ref(), FRONTS_MAX_AGE);
        match tokio::time::timeout(FRONTS_TIMEOUT, refresh).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::info!("event=fronts_not_read cause=\"{error}\""),
            Err(_) => log::info!("event=fronts_not_read cause=\"no answer in time\""),
        }
    }

    /// Writes all changes to the store, and reads its records when this node may have missed
    /// updates.
    async fn store_all(&self, mut updates: mpsc::UnboundedReceiver<ContentDigest>) {
        let started = Instant::now();
        let mut unwritten = BTreeSet::new();
        let mut has_second_read = false;
        let mut pending_read = Some(Freshness::Stale);
        loop {
            if let Some(freshness) = pending_read
                && self.has_contact()
                && self.read_all(freshness).await.is_ok()
            {
                pending_read = None;
            }
            let received = tokio::time::timeout(CHECK_INTERVAL, updates.recv()).await;
            match received {
                Ok(Some(content)) => {
                    unwritten.insert(content);
                }
                Ok(None) => return,
                Err(_) => {}
            }
            self.write_all(&mut unwritten).await;
            if !has_second_read && started.elapsed() > SECOND_READ_DELAY {
                has_second_read = true;
                pending_read.get_or_insert(Freshness::Stale);
            }
            if !self.has_contact() {
                pending_read = Some(Freshness::Newest);
            }
        }
    }

    /// Returns whether the store responded recently. Without this check, a
    /// partitioned node would read the store every second.
    fn has_contact(&self) -> bool {
        let contact = self.nodes.last_store_contact();
        contact.is_none_or(|at| at.elapsed() < CONTACT_TIMEOUT)
    }

    /// Merges the records of the store.
    async fn read_all(&self, freshness: Freshness) -> Result<(), CoordinationError> {
        let listing = match freshness {
            Freshness::Stale => self.coordination.list_stale(PREFIX).await,
            Freshness::Newest => self.coordination.list(PREFIX).await,
        };
        let records = listing
            .inspect_err(|error| log::warn!("event=suspects_not_read cause=\"{error}\""))?
            .records;
        let known = records.iter().filter_map(read_or_log);
        for (content, record) in known {
            self.suspects.merge_crashes(content, &record.ends);
        }
        Ok(())
    }

    /// Writes the state of contents; those that could not be written are kept for the next time.
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
        let ends = self.suspects.crashes(content);
        if ends.is_empty() {
            return self.delete_record(content).await;
        }
        let key = SuspectRecord::key(content);
        let mut found = self.coordination.get(&key).await?;
        let lease = self.coordination.grant(RECORD_LEASE_TIME).await?;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let mut record = SuspectRecord {
                ends: Vec::new(),
                lease,
            };
            if let Some((_, known)) = found.as_ref().and_then(read_or_log) {
                self.suspects.merge_crashes(content, &known.ends);
                record.add(known.ends);
            }
            record.add(self.suspects.crashes(content));
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
            "record is being written by other nodes".to_owned(),
        ))
    }

    /// Deletes the record of a content that was cleared.
    async fn delete_record(&self, content: ContentDigest) -> Result<(), CoordinationError> {
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
