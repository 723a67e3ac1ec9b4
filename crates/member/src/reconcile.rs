//! Reconciliation of peer states: with each digest, two nodes also compare which peers they do not see up.
//!
//! Suspicions are disseminated for a limited time only. A node that misses one, since it was paused or learned of
//! the peer from a third node, would see the peer up until it probes the peer itself, up to as many rounds
//! later as there are nodes.

use crate::action::Action;
use crate::group::Group;
use crate::identity::Id;
use crate::message::{Body, Message, Run, Update};
use crate::peer::State;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;

/// Largest number of suspicions that a digest, or the answer to those of a digest, carries in addition to recent
/// updates.
const MAX_COMPARED_SUSPICIONS: usize = 16;

/// Returns the suspicions that the sender of a digest stated; `None` if the message holds no digest.
pub(crate) fn stated_suspicions(message: &Message) -> Option<Vec<Run>> {
    let stated = message.updates.iter().filter_map(|update| match update {
        Update::Suspect(run) => Some(*run),
        _ => None,
    });
    matches!(message.body, Body::Digest(_)).then(|| stated.collect())
}

impl Group {
    /// Adds suspicions of peers that are the subject of none of `updates`.
    pub(crate) fn add_suspicions(&mut self, updates: &mut Vec<Update>) {
        let subjects: Vec<Id> = updates.iter().map(crate::dissemination::subject).collect();
        updates.extend(self.suspicions_without(&subjects));
    }

    /// Answers the suspicions that a peer stated with its digest: with those that it lacks, and with the
    /// refutations that it missed.
    pub(crate) fn answer_suspicions(
        &mut self,
        peer: Id,
        to: SocketAddr,
        stated: &[Run],
        out: &mut Vec<Action>,
    ) {
        let mut updates: Vec<Update> = stated.iter().filter_map(|run| self.refuted(run)).collect();
        let subjects: Vec<Id> = stated.iter().map(|run| run.id).collect();
        updates.extend(self.suspicions_without(&subjects));
        if !updates.is_empty() {
            self.send_updates(peer, to, updates, out);
        }
    }

    /// Returns the refutation of a suspicion, if this node knows one.
    fn refuted(&self, suspicion: &Run) -> Option<Update> {
        let peer = self.roster.get(suspicion.id)?;
        let is_refuted = peer.state == State::Up
            && peer.identity.incarnation == suspicion.incarnation
            && peer.refutations > suspicion.refutations;
        is_refuted.then(|| Update::Alive(crate::dissemination::to_run(peer)))
    }

    /// Returns suspicions of random suspect or dead peers that are not in `excluded`. Returns none if most peers
    /// are not up: this node is then likely the one that is cut off, and its suspicions would make live nodes
    /// suspects once it is back. Parted peers are left out for the same reason.
    fn suspicions_without(&mut self, excluded: &[Id]) -> Vec<Update> {
        let away = self.roster.iter().filter(|p| p.state != State::Up).count();
        if away * 2 > self.roster.len() {
            return Vec::new();
        }
        let is_lost = |state| matches!(state, State::Suspect | State::Dead);
        let lost = self.roster.iter().filter(|p| is_lost(p.state));
        let lost = lost.filter(|p| !excluded.contains(&p.id));
        let runs: Vec<Run> = lost.map(crate::dissemination::to_run).collect();
        let chosen = runs.sample(&mut self.rng, MAX_COMPARED_SUSPICIONS);
        chosen.copied().map(Update::Suspect).collect()
    }
}
