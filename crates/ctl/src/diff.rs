//! `wigeonctl diff`: lists the sections in which two bundles differ.

use crate::failure::{Result, input};
use crate::files;
use crate::output::Output;
use bundle::delta::Delta;
use bundle::section::Key;
use bundle::sections::Sections;
use clap::ArgMatches;
use serde::Serialize;
use std::fmt;
use std::path::Path;

/// Headers of the sections that were added, changed or removed.
#[derive(Serialize)]
struct Difference {
    added: Vec<String>,
    changed: Vec<String>,
    removed: Vec<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ('+', &self.added),
            ('~', &self.changed),
            ('-', &self.removed),
        ];
        for (sign, headers) in rows {
            for header in headers {
                writeln!(f, "{sign} [{header}]")?;
            }
        }
        Ok(())
    }
}

/// Prints the sections that differ between the old and the new bundle.
pub fn run(args: &ArgMatches, output: Output) -> Result {
    let old = old_sections(files::path_arg(args, "old"))?;
    let new = files::sections(files::path_arg(args, "new"))?;
    let delta = Delta::between(&old, &new);
    let (changed, added): (Vec<&Key>, Vec<&Key>) =
        delta.set.keys().partition(|key| old.get(key).is_some());
    output.show(&Difference {
        added: format_headers(added),
        changed: format_headers(changed),
        removed: format_headers(delta.removed.iter()),
    })
}

/// Reads the sections of a bundle's text, or of a record that holds a complete bundle. A file that
/// starts with `{` is taken for a record.
fn old_sections(path: &Path) -> Result<Sections> {
    if !files::bytes(path)?.trim_ascii_start().starts_with(b"{") {
        return files::sections(path);
    }
    let sections = files::record(path)?.sections();
    sections.map_err(|e| {
        input(eyre::eyre!(
            "the record does not hold a complete bundle: it {e}"
        ))
    })
}

/// Formats section headers.
fn format_headers<'a>(keys: impl IntoIterator<Item = &'a Key>) -> Vec<String> {
    keys.into_iter().map(Key::to_string).collect()
}
