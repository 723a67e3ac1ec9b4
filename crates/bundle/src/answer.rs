//! The admin API's answer to a published version.

use crate::finding::Finding;
use crate::fold::Reason;
use crate::id::Number;
use crate::publish::Outcome;
use crate::record;
use serde::{Deserialize, Serialize};
use std::fmt;

/// How it ended, in one word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// The version is in force.
    Accepted,
    /// Another version came first.
    Lost,
    /// It is no version that counts.
    Refused,
    /// Nothing was appended, since the log can't be reached or judged.
    Failed,
    /// It may be in force or come into force.
    Unsure,
}

/// The answer, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// How it ended.
    pub outcome: OutcomeKind,
    /// Number of the version accepted, or of the one that won; 0 for none.
    #[serde(default)]
    pub number: Number,
    /// Who signed that version; empty for none.
    #[serde(default)]
    pub signer: String,
    /// The end in words.
    #[serde(default)]
    pub message: String,
    /// What is wrong with a refused bundle.
    #[serde(default)]
    pub findings: Vec<Finding>,
}

impl Answer {
    /// An answer that names no version.
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

/// A body that is no version at all.
impl From<&record::Error> for Answer {
    fn from(error: &record::Error) -> Self {
        let mut answer = Self::without_version(OutcomeKind::Refused, error.to_string());
        if let record::Error::Text(findings) = error {
            answer.findings = findings.rows().to_vec();
        }
        answer
    }
}

/// The word of an outcome.
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
