//! Certificates that are replaced while a node runs.

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

/// Files of a test's own folder.
struct Folder {
    path: PathBuf,
    files: Files,
}

impl Folder {
    fn new(name: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&path).expect("a folder");
        let files = Files {
            certificate: path.join("cert.pem"),
            key: path.join("key.pem"),
        };
        Self { path, files }
    }

    /// Writes a file with a time of its own: two writes can fall into one tick of the file system.
    fn write(path: &PathBuf, text: &str, second: u64) {
        fs::write(path, text).expect("written");
        let file = fs::File::options().append(true).open(path).expect("a file");
        let time = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000 + second);
        file.set_modified(time).expect("a time");
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

// Callers keep being served with the old pair while a renewal is half done: the new certificate is
// there and the new key is not. Once both fit, new connections get the new pair.
#[test]
fn partial_renewal_keeps_the_old_pair() {
    let folder = Folder::new("half");
    let (old, new) = (pair(), pair());
    folder.certificate(&old.certificate, 1);
    folder.key(&old.key, 1);
    let config = ReloadableConfig::open(folder.files.clone()).expect("a store");
    let first = config.config();
    assert!(!config.reload().expect("unchanged"));
    folder.certificate(&new.certificate, 2);
    for _ in 0..2 {
        assert!(matches!(config.reload(), Err(Error::Pair(_))));
        assert!(Arc::ptr_eq(&first, &config.config()));
    }
    folder.key(&new.key, 3);
    assert!(config.reload().expect("changed"));
    assert!(!Arc::ptr_eq(&first, &config.config()));
    assert!(!config.reload().expect("unchanged"));
}

#[test]
fn broken_and_missing_files_keep_the_old_pair() {
    let folder = Folder::new("broken");
    let good = pair();
    folder.certificate(&good.certificate, 1);
    folder.key(&good.key, 1);
    let config = ReloadableConfig::open(folder.files.clone()).expect("a store");
    let first = config.config();
    folder.key("no key at all", 2);
    assert!(matches!(config.reload(), Err(Error::Pem(..))));
    folder.certificate("", 3);
    assert!(matches!(config.reload(), Err(Error::Pem(..))));
    fs::remove_file(&folder.files.certificate).expect("removed");
    assert!(matches!(config.reload(), Err(Error::File(..))));
    assert!(Arc::ptr_eq(&first, &config.config()));
}

// An operator moves a certificate into place that was made before the key's file was last written
// (the key is the same). The younger of the two times stays as it was, and the new certificate must
// be seen all the same, or the old one is served until it runs out.
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
    let config = ReloadableConfig::open(folder.files.clone()).expect("a store");
    folder.certificate(&certificate(), 5);
    assert!(config.reload().expect("changed"));
}
