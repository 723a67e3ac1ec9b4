//! Sections: the unit in which bundle text is checked, changed and hashed.

use crate::digest::Digest;
use std::fmt;
use std::str::FromStr;

/// Maximum length of a section name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Kind of a section; variants are in canonical order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// `[zone NAME]`
    Zone,
    /// `[kind NAME]`
    Kind,
    /// `[model NAME]`
    Model,
    /// `[endpoint NAME]`
    Endpoint,
    /// `[service NAME]`
    Service,
    /// `[priority NAME]`
    Priority,
    /// `[team NAME]`
    Team,
    /// `[link A B]`
    Link,
    /// `[signer NAME]`
    Signer,
}

impl Kind {
    /// All kinds, in canonical order.
    pub const ALL: [Self; 9] = [
        Self::Zone,
        Self::Kind,
        Self::Model,
        Self::Endpoint,
        Self::Service,
        Self::Priority,
        Self::Team,
        Self::Link,
        Self::Signer,
    ];

    /// Returns the keyword of the kind in a section header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Kind => "kind",
            Self::Model => "model",
            Self::Endpoint => "endpoint",
            Self::Service => "service",
            Self::Priority => "priority",
            Self::Team => "team",
            Self::Link => "link",
            Self::Signer => "signer",
        }
    }

    /// Returns the keys allowed in sections of the kind, sorted.
    pub fn keys(self) -> &'static [&'static str] {
        match self {
            Self::Zone => &["region"],
            Self::Kind => &["layers_per_second"],
            Self::Model => &["adapters", "context", "layers", "version"],
            Self::Endpoint => &[
                "addr", "fenced", "instance", "kind", "services", "slots", "spans", "zone",
            ],
            Self::Service => &["repeatable"],
            Self::Priority => &["rank", "urgent", "weight"],
            Self::Team => &[
                "in_flight",
                "keys",
                "models",
                "rate",
                "top",
                "usual",
                "weight",
            ],
            Self::Link => &["latency", "tokens_per_second"],
            Self::Signer => &["key", "revoked"],
        }
    }
}

/// Header of a section: its kind and name. The name of a link consists of its two ends, sorted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Kind of the section.
    pub kind: Kind,
    /// Name of the section.
    pub name: String,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.as_str(), self.name)
    }
}

impl FromStr for Key {
    type Err = String;

    fn from_str(header: &str) -> Result<Self, String> {
        let mut words = header.split_whitespace();
        let word = words.next().ok_or("empty section header")?;
        let kind = Kind::ALL.into_iter().find(|k| k.as_str() == word);
        let kind = kind.ok_or_else(|| unknown_kind(word))?;
        let mut names: Vec<&str> = words.collect();
        let expected = if kind == Kind::Link { 2 } else { 1 };
        if names.len() != expected {
            return Err(format!(
                "[{word}] takes {expected} name(s), not {}",
                names.len()
            ));
        }
        if let Some(bad) = names.iter().find(|n| !is_name(n)) {
            return Err(format!(
                "`{bad:.80}` is no name: 1 to {MAX_NAME_LEN} of a-z A-Z 0-9 . _ -"
            ));
        }
        names.sort_unstable();
        let name = names.join(" ");
        Ok(Self { kind, name })
    }
}

/// Returns the message for a header that starts with an unknown keyword.
fn unknown_kind(word: &str) -> String {
    let known = Kind::ALL.into_iter().map(Kind::as_str);
    match crate::nearest::nearest(word, known) {
        Some(near) => format!("unknown section `{word:.80}`; `{near}` is near"),
        None => format!("unknown section `{word:.80}`"),
    }
}

/// Returns whether `text` is a valid section name.
pub fn is_name(text: &str) -> bool {
    let ok = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    !text.is_empty() && text.len() <= MAX_NAME_LEN && text.bytes().all(ok)
}

/// A key of a section with its value.
#[derive(Clone, Debug)]
pub struct Pair {
    /// Key, one of [`Kind::keys`].
    pub key: &'static str,
    /// Normalised value.
    pub value: Box<str>,
    /// Line in the text, counted from 1; 0 if there is no line.
    pub line: u32,
}

/// A section in normal form: known keys only, sorted, values with single spaces.
#[derive(Clone, Debug)]
pub struct Section {
    key: Key,
    line: u32,
    pairs: Vec<Pair>,
    digest: Digest,
}

impl Section {
    /// Creates a section of `pairs`, which may be in any order.
    pub fn new(key: Key, line: u32, mut pairs: Vec<Pair>) -> Self {
        pairs.sort_by_key(|p| p.key);
        let digest = Digest::default();
        let mut section = Self {
            key,
            line,
            pairs,
            digest,
        };
        section.digest = Digest::of(section.to_string().as_bytes());
        section
    }

    /// Returns the header.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Returns the line of the header, counted from 1; 0 if there is no line.
    pub fn line(&self) -> u32 {
        self.line
    }

    /// Returns the keys and values, sorted by key.
    pub fn pairs(&self) -> &[Pair] {
        &self.pairs
    }

    /// Returns the pair with `key`.
    pub fn pair(&self, key: &str) -> Option<&Pair> {
        self.pairs.iter().find(|p| p.key == key)
    }

    /// Returns the digest of the canonical text.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the canonical text below the header.
    pub fn body(&self) -> String {
        let line = |p: &Pair| format!("{} = {}\n", p.key, p.value);
        self.pairs.iter().map(line).collect()
    }
}

/// Writes the canonical text.
impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[{}]", self.key)?;
        for pair in &self.pairs {
            writeln!(f, "{} = {}", pair.key, pair.value)?;
        }
        Ok(())
    }
}

/// Sections are equal if their canonical texts are; line numbers are ignored.
impl PartialEq for Section {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for Section {}
