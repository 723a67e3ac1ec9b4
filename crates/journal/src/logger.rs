//! Backend of the `log` crate that records log lines as [`Event::Note`].

use crate::Journal;
use crate::event::Event;
use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};

struct Logger {
    journal: Journal,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            self.journal.record(Event::Note {
                level: record.level().as_str(),
                target: record.target().to_owned(),
                message: record.args().to_string(),
            });
        }
    }

    fn flush(&self) {}
}

/// Installs the logger for the whole process, with `level` as the maximum level.
///
/// Fails if a logger is installed already.
pub fn install(journal: &Journal, level: LevelFilter) -> Result<(), SetLoggerError> {
    let journal = journal.clone();
    log::set_boxed_logger(Box::new(Logger { journal }))?;
    log::set_max_level(level);
    Ok(())
}
