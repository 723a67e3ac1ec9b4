//! Logging through log4rs: one text line or JSON object per record, to standard error or to a file.

use crate::settings::{Format, Logging};
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

/// Name of the only appender.
const APPENDER_NAME: &str = "main";
/// Pattern of a text line: time in UTC with milliseconds, level, target and message.
const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f%Z)(utc)} {l} {t} {m}{n}";

/// Installs the logger of the process.
pub fn start(logging: &Logging) -> eyre::Result<()> {
    let appender = Appender::builder().build(APPENDER_NAME, build_appender(logging)?);
    let root = Root::builder().appender(APPENDER_NAME).build(logging.level);
    let config = Config::builder().appender(appender).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}

fn build_appender(logging: &Logging) -> eyre::Result<Box<dyn Append>> {
    let encoder = build_encoder(logging.format);
    Ok(match &logging.file {
        Some(path) => Box::new(FileAppender::builder().encoder(encoder).build(path)?),
        None => {
            let builder = ConsoleAppender::builder().target(Target::Stderr);
            Box::new(builder.encoder(encoder).build())
        }
    })
}

fn build_encoder(format: Format) -> Box<dyn Encode> {
    match format {
        Format::Text => Box::new(PatternEncoder::new(TEXT_PATTERN)),
        Format::Json => Box::new(JsonEncoder::new()),
    }
}
