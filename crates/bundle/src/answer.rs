//! Response of the admin API to the publication of a version.

use crate::finding::Finding;
use crate::fold::Reason;
use crate::id::Number;
use crate::publish::Outcome;
use crate::record;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Kind of the outcome of a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// The version is in force.
    Accepted,
    /// Another version was accepted under its number.
    Lost,
    /// The version is invalid, or its parent is not the head.
    Refused,
    /// Nothing was appended, since the log can't be reached or has a gap.
    Failed,
    /// The version may be in force or may come into force.
    Unsure,
}

/// Body of the response, encoded as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Kind of the outcome.
    pub outcome: OutcomeKind,
    /// Number of the accepted version, of the version that won, or of the head; 0 for none.
    #[serde(default)]
    pub number: Number,
    /// Name of the signer of the version that was accepted or won; empty for none.
    #[serde(default)]
    pub signer: String,
    /// Description of the outcome for an operator.
    #[serde(default)]
    pub message: String,
    /// Findings on a refused bundle.
    #[serde(default)]
    pub findings: Vec<Finding>,
}

impl Answer {
    /// Creates an answer that names no version.
    fn without_version(outcome: OutcomeKind, message: String) -> Self {
        Self {
            outcome,
            number: 0,
            signer: String::new(),
            message,
            findings: Vec::new(),
        }
    }
}

impl From<&Outcome> for Answer {
    fn from(outcome: &Outcome) -> Self {
        let mut answer = Self::without_version(outcome_kind(outcome), outcome.to_string());
        match outcome {
            Outcome::Accepted(entry) | Outcome::Lost(entry) => {
                answer.number = entry.number;
                answer.signer.clone_from(&entry.signer);
            }
            Outcome::Superseded(number) | Outcome::UnknownParent(number) => answer.number = *number,
            Outcome::Refused(Reason::Bundle(findings)) => {
                answer.findings = findings.rows().to_vec();
            }
            _ => {}
        }
        answer
    }
}

/// Answer to a body that can't be decoded as a version.
impl From<&record::Error> for Answer {
    fn from(error: &record::Error) -> Self {
        let mut answer = Self::without_version(OutcomeKind::Refused, error.to_string());
        if let record::Error::Text(findings) = error {
            answer.findings = findings.rows().to_vec();
        }
        answer
    }
}

/// Returns the kind of an outcome.
fn outcome_kind(outcome: &Outcome) -> OutcomeKind {
    match outcome {
        Outcome::Accepted(_) => OutcomeKind::Accepted,
        Outcome::Lost(_) | Outcome::Superseded(_) => OutcomeKind::Lost,
        Outcome::Refused(_) | Outcome::UnknownParent(_) => OutcomeKind::Refused,
        Outcome::Gap | Outcome::Failed => OutcomeKind::Failed,
        Outcome::Unsure => OutcomeKind::Unsure,
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}
