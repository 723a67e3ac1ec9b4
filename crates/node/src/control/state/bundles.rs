//! Bundles read from the log, fetched from peers and sent to peers.

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
use wire::frame::HeadRequest;

impl State {
    /// Applies a page of the bundle stream. Returns the offset to read next.
    pub(super) fn fold_page(&mut self, page: Page) -> Offset {
        self.first_offset = page.first;
        let records = page.records.iter().map(|r| (r.offset, r.body.as_ref()));
        let verdicts = self.fold.apply_page(page.first, records);
        for (offset, verdict) in &verdicts {
            log_verdict(*offset, verdict);
        }
        if self.log_error.take().is_some() {
            log::info!("the log is readable again");
        }
        if self.fold.next_offset() >= page.next {
            self.log_read_at = Some(Instant::now());
        }
        self.announce_head();
        self.fold.next_offset()
    }

    /// Records that the log can't be read. The node continues with the bundle that it has.
    pub(super) fn log_read_failed(&mut self, error: &platform::Error) {
        if self.log_error.is_none() {
            log::warn!("the log can't be read: {error}");
        }
        self.log_error = Some(error.to_string());
    }

    /// Adopts the records of a newer bundle that a peer has sent.
    pub(super) fn adopt_records(&mut self, body: Option<Vec<u8>>) {
        let Some(records) = body.as_deref().and_then(records::decode) else {
            return;
        };
        for record in records {
            let verdict = self.fold.adopt(&record);
            match &verdict {
                Verdict::Adopted(bundle) => {
                    log::info!("adopted bundle {} from a peer", bundle.number);
                }
                Verdict::Refused(reason) => log::warn!("refused a bundle from a peer: {reason}"),
                _ => {}
            }
        }
        self.announce_head();
    }

    /// If the head of the fold is new, puts it into force and announces it to the group.
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
        self.step_teams();
    }

    /// Requests from a peer the records that lead to its newer head.
    pub(super) fn fetch_records(&mut self, head: Head, addr: SocketAddr) {
        let have = self.fold.head().map_or(0, |b| b.number);
        let ask = HeadRequest {
            number: head.number,
            have,
        };
        let link = self.link.clone();
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let body = link.request_head(addr, ask).await.ok().flatten();
            let _ = inputs.send(Input::Records(body)).await;
        });
    }

    /// Writes a checkpoint if the policy says that this node should write one now.
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

    /// Creates a client of the log service.
    pub(super) fn log_client(&self) -> platform::http::Log {
        let platform = &self.settings.platform;
        platform::http::Log::new(platform.log, platform.limits)
    }

    /// Returns the records that a peer has requested, encoded in one body.
    pub(super) fn records_since(&self, ask: HeadRequest) -> Option<Vec<u8>> {
        records::encode(&self.fold.records_since(ask.have))
    }
}

/// Logs refused records and publications that lost to a concurrent one.
fn log_verdict(offset: Offset, verdict: &Verdict) {
    match verdict {
        Verdict::Refused(reason) => log::warn!("record {offset} of the log is refused: {reason}"),
        Verdict::Lost { .. } => log::info!("record {offset} of the log is {verdict}"),
        _ => {}
    }
}
