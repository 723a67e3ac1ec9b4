//! Answers to requests of the admin listener.

use super::State;
use crate::control::publish;
use bundle::answer::Answer;
use bytes::Bytes;
use entry::admin::{Node, Part, Status, Version};
use futures::future::join_all;
use tokio::sync::oneshot;

impl State {
    /// Returns the status of this node.
    pub(super) fn status(&self) -> Status {
        let head = self.fold.head();
        let node = &self.settings.node;
        Status {
            node: node.name.clone(),
            zone: node.zone.clone(),
            incarnation: self.incarnation,
            ready: head.is_some() && !self.leaving,
            leaving: self.leaving,
            number: head.map_or(0, |b| b.number),
            digest: head.map(|b| b.digest.to_string()).unwrap_or_default(),
            signer: head.map(|b| b.signer.clone()).unwrap_or_default(),
            log_age_ms: self.log_read_at.map(|at| at.elapsed().as_millis() as u64),
            log_error: self.log_error.clone(),
        }
    }

    /// Returns the versions that have been in force.
    pub(super) fn history(&self) -> Vec<Version> {
        let entries = self.fold.history();
        entries
            .map(|e| Version {
                number: e.number,
                digest: e.digest.to_string(),
                signer: e.signer.clone(),
                offset: e.offset,
            })
            .collect()
    }

    /// Requests the status of every node of the group. Replies when all nodes have answered or
    /// their requests have timed out. Nodes without an answer have version 0.
    pub(super) fn collect_fleet(&self, reply: oneshot::Sender<Vec<Node>>) {
        let me = self.group.me();
        let own = self.status();
        let peers = self.group.roster().iter().filter(|p| p.id != me);
        let targets: Vec<_> = peers
            .map(|p| (p.identity.clone(), p.state, self.link.clone()))
            .collect();
        tokio::spawn(async move {
            let requests = targets
                .into_iter()
                .map(|(identity, state, link)| async move {
                    let status = link.request_status(identity.addr).await.unwrap_or_default();
                    Node {
                        node: identity.name,
                        zone: identity.zone,
                        state: format!("{state:?}").to_lowercase(),
                        number: status.number,
                        digest: bundle::digest::Digest(status.digest).to_string(),
                    }
                });
            let mut nodes = join_all(requests).await;
            nodes.push(Node {
                node: own.node,
                zone: own.zone,
                state: "self".to_owned(),
                number: own.number,
                digest: own.digest,
            });
            nodes.sort_by(|a, b| a.node.cmp(&b.node));
            let _ = reply.send(nodes);
        });
    }

    /// Publishes a bundle version. Replies when it is known whether the version came into force.
    pub(super) fn publish_version(&self, body: Bytes, reply: oneshot::Sender<Answer>) {
        let log = self.log_client();
        let fold = self.fold.clone();
        let seed = self.seed;
        tokio::spawn(async move {
            let answer = publish::publish_version(log, fold, body, seed).await;
            let _ = reply.send(answer);
        });
    }

    /// Returns a text dump of each part of the state.
    pub(super) fn dump(&self) -> Vec<Part> {
        let part = |part: &str, text: String| Part {
            part: part.to_owned(),
            text,
        };
        let status = self.status();
        vec![
            part("node", format!("{status:#?}\n")),
            part("bundles", format!("{}", self.fold)),
            part("members", format!("{}", self.group)),
            part("team limits", format!("{}", self.teams)),
            part("endpoints", format!("{}", self.endpoints)),
            part("leases and rolls", format!("{}", self.rolls)),
            part("claims", format!("{}", self.claims)),
            part("instance list", format!("{}", self.instance_list)),
        ]
    }
}
