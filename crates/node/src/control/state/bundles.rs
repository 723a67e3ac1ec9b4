//! Bundles: from the log, from peers, and to peers.

use super::State;
use crate::control::input::Input;
use crate::control::{publish, records};
use bundle::fold::Verdict;
use member::event::Event;
use member::head::Head;
use platform::{Offset, Page};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use wire::frame::HeadAsk;

impl State {
    /// Folds a page of the log; returns the offset to read next.
    pub(super) fn fold_page(&mut self, page: Page) -> Offset {
        self.first_offset = page.first;
        let records = page.records.iter().map(|r| (r.offset, r.body.as_ref()));
        let verdicts = self.fold.page(page.first, records);
        for (offset, verdict) in &verdicts {
            log_verdict(*offset, verdict);
        }
        if self.log_error.take().is_some() {
            log::info!("the log is read again");
        }
        if self.fold.next_offset() >= page.next {
            self.log_read_at = Some(Instant::now());
        }
        self.announce_head();
        self.fold.next_offset()
    }

    /// The log can't be read: the node goes on with what it has.
    pub(super) fn log_read_failed(&mut self, error: &platform::Error) {
        if self.log_error.is_none() {
            log::warn!("the log can't be read: {error}");
        }
        self.log_error = Some(error.to_string());
    }

    /// Takes what a peer gave of a newer bundle.
    pub(super) fn adopt_records(&mut self, body: Option<Vec<u8>>) {
        let Some(records) = body.as_deref().and_then(records::decode) else {
            return;
        };
        for record in records {
            let verdict = self.fold.adopt(&record);
            match &verdict {
                Verdict::Adopted(bundle) => {
                    log::info!("bundle {} came from a peer", bundle.number);
                }
                Verdict::Refused(reason) => log::warn!("a peer's bundle is refused: {reason}"),
                _ => {}
            }
        }
        self.announce_head();
    }

    /// Tells the group of a new head.
    fn announce_head(&mut self) {
        let Some(bundle) = self.fold.head().cloned() else {
            return;
        };
        let head = Head {
            number: bundle.number,
            digest: bundle.digest.0,
        };
        if self.group.head() == Some(head) {
            return;
        }
        log::info!(
            "bundle {} by {} is in force, digest {}",
            bundle.number,
            bundle.signer,
            bundle.digest
        );
        self.dirty = true;
        self.instance_list
            .retain_seen(bundle.endpoints.iter().map(|e| e.instance.as_str()));
        self.endpoints.retain(&bundle);
        self.handle_group_event(Event::Head(head));
        self.update_listed_nodes();
        self.step();
    }

    /// Asks a peer for the records that lead to its newer head.
    pub(super) fn fetch_records(&mut self, head: Head, addr: SocketAddr) {
        let have = self.fold.head().map_or(0, |b| b.number);
        let ask = HeadAsk {
            number: head.number,
            have,
        };
        let link = self.link.clone();
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let body = link.head(addr, ask).await.ok().flatten();
            let _ = inputs.send(Input::Records(body)).await;
        });
    }

    /// Writes a checkpoint if it is this node's turn.
    pub(super) fn checkpoint_if_due(&mut self) {
        let now = self.now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = wall.unwrap_or_default();
        if !self.policy.poll(now, wall, self.first_offset, &self.fold) {
            return;
        }
        if let Some(body) = self.fold.checkpoint(wall) {
            tokio::spawn(publish::append_checkpoint(self.log_client(), body));
        }
    }

    /// A client of the log.
    pub(super) fn log_client(&self) -> platform::http::Log {
        let platform = &self.settings.platform;
        platform::http::Log::new(platform.log, platform.limits)
    }

    /// The records that a peer asks for.
    pub(super) fn records_since(&self, ask: HeadAsk) -> Option<Vec<u8>> {
        records::encode(&self.fold.offer(ask.have))
    }
}

/// Writes a line for a verdict that is a change of state.
fn log_verdict(offset: Offset, verdict: &Verdict) {
    match verdict {
        Verdict::Refused(reason) => log::warn!("record {offset} of the log is refused: {reason}"),
        Verdict::Lost { .. } => log::info!("record {offset} of the log is {verdict}"),
        _ => {}
    }
}
