//! Replacement of certificates while a node runs.

use entry::tls::{Error, Files, ReloadableConfig};
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

struct Pair {
    certificate: String,
    key: String,
}

fn pair() -> Pair {
    let made = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]).expect("a pair");
    Pair {
        certificate: made.cert.pem(),
        key: made.signing_key.serialize_pem(),
    }
}

/// A directory for the files of one test, removed on drop.
struct Folder {
    path: PathBuf,
    files: Files,
}

impl Folder {
    fn new(name: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&path).expect("create directory");
        let files = Files {
            certificate: path.join("cert.pem"),
            key: path.join("key.pem"),
        };
        Self { path, files }
    }

    /// Writes a file and sets its modification time, because the clock of the file system may not
    /// advance between two writes.
    fn write(path: &PathBuf, text: &str, second: u64) {
        fs::write(path, text).expect("write file");
        let file = fs::File::options()
            .append(true)
            .open(path)
            .expect("open file");
        let time = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000 + second);
        file.set_modified(time).expect("set modification time");
    }

    fn certificate(&self, text: &str, second: u64) {
        Self::write(&self.files.certificate, text, second);
    }

    fn key(&self, text: &str, second: u64) {
        Self::write(&self.files.key, text, second);
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

// During a renewal the new certificate may exist before its key. Callers are served with the old
// pair until both files match; then new connections use the new pair.
#[test]
fn partial_renewal_keeps_the_old_pair() {
    let folder = Folder::new("half");
    let (old, new) = (pair(), pair());
    folder.certificate(&old.certificate, 1);
    folder.key(&old.key, 1);
    let config = ReloadableConfig::open(folder.files.clone()).expect("a valid pair");
    let first = config.current();
    assert!(!config.reload().expect("unchanged"));
    folder.certificate(&new.certificate, 2);
    for _ in 0..2 {
        assert!(matches!(config.reload(), Err(Error::Pair(_))));
        assert!(Arc::ptr_eq(&first, &config.current()));
    }
    folder.key(&new.key, 3);
    assert!(config.reload().expect("changed"));
    assert!(!Arc::ptr_eq(&first, &config.current()));
    assert!(!config.reload().expect("unchanged"));
}

#[test]
fn broken_and_missing_files_keep_the_old_pair() {
    let folder = Folder::new("broken");
    let good = pair();
    folder.certificate(&good.certificate, 1);
    folder.key(&good.key, 1);
    let config = ReloadableConfig::open(folder.files.clone()).expect("a valid pair");
    let first = config.current();
    folder.key("no key at all", 2);
    assert!(matches!(config.reload(), Err(Error::Pem(..))));
    folder.certificate("", 3);
    assert!(matches!(config.reload(), Err(Error::Pem(..))));
    fs::remove_file(&folder.files.certificate).expect("remove file");
    assert!(matches!(config.reload(), Err(Error::File(..))));
    assert!(Arc::ptr_eq(&first, &config.current()));
}

// An operator installs a certificate whose modification time is before that of the key's file,
// which does not change. If only the newer of the two times were compared, the certificate would
// not be loaded, and the old one would be served until it expires.
#[test]
fn certificate_older_than_its_key_is_loaded() {
    let folder = Folder::new("older");
    let key = rcgen::KeyPair::generate().expect("a key");
    let certificate = || {
        let params = rcgen::CertificateParams::new(vec!["localhost".to_owned()]);
        let made = params.expect("names").self_signed(&key);
        made.expect("a certificate").pem()
    };
    folder.certificate(&certificate(), 1);
    folder.key(&key.serialize_pem(), 9);
    let config = ReloadableConfig::open(folder.files.clone()).expect("a valid pair");
    folder.certificate(&certificate(), 5);
    assert!(config.reload().expect("changed"));
}
