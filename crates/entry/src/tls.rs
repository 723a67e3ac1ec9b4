//! TLS of a listener, reloaded from its files without a restart.

use arc_swap::ArcSwap;
use rustls::ServerConfig;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;
use std::{fmt, fs, io};

/// Result of reading a certificate or key.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a certificate and key can't be used.
#[derive(Debug)]
pub enum Error {
    /// A file can't be read.
    File(PathBuf, io::Error),
    /// A file holds no certificate or no key.
    Pem(PathBuf, rustls_pki_types::pem::Error),
    /// The certificate and the key don't fit.
    Pair(rustls::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Pem(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Pair(error) => write!(f, "certificate and key: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Where a certificate chain and its key are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    /// Certificate chain, PEM.
    pub certificate: PathBuf,
    /// Private key, PEM.
    pub key: PathBuf,
}

impl Files {
    /// Reads both and makes a server's configuration of them.
    pub fn load(&self) -> Result<Arc<ServerConfig>> {
        let chain = certificates(&self.certificate)?;
        let key = private_key(&self.key)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(Error::Pair)?;
        let mut config = builder
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .map_err(Error::Pair)?;
        config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
        Ok(Arc::new(config))
    }

    /// When each of the two was written. The younger time alone would hide a certificate that is
    /// new here and was made before the key's file was written.
    fn modified(&self) -> ModifiedTimes {
        let time = |path: &Path| fs::metadata(path).and_then(|m| m.modified()).ok();
        ModifiedTimes {
            certificate: time(&self.certificate),
            key: time(&self.key),
        }
    }
}

/// When the files were written, as far as the file system tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ModifiedTimes {
    certificate: Option<SystemTime>,
    key: Option<SystemTime>,
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let bytes = read(path)?;
    let chain: std::result::Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
    let chain = chain.map_err(|e| Error::Pem(path.to_owned(), e))?;
    if chain.is_empty() {
        let none = rustls_pki_types::pem::Error::NoItemsFound;
        return Err(Error::Pem(path.to_owned(), none));
    }
    Ok(chain)
}

fn private_key(path: &Path) -> Result<PrivateKeyDer<'static>> {
    let bytes = read(path)?;
    PrivateKeyDer::from_pem_slice(&bytes).map_err(|e| Error::Pem(path.to_owned(), e))
}

fn read(path: &Path) -> Result<Vec<u8>> {
    fs::read(path).map_err(|e| Error::File(path.to_owned(), e))
}

/// The configuration in use, replaced when the files change.
pub struct ReloadableConfig {
    files: Files,
    config: ArcSwap<ServerConfig>,
    modified: std::sync::Mutex<ModifiedTimes>,
}

impl ReloadableConfig {
    /// Loads the files for the first time.
    pub fn open(files: Files) -> Result<Self> {
        let modified = files.modified();
        let config = files.load()?;
        Ok(Self {
            files,
            config: ArcSwap::new(config),
            modified: std::sync::Mutex::new(modified),
        })
    }

    /// The configuration for a new connection.
    pub fn config(&self) -> Arc<ServerConfig> {
        self.config.load_full()
    }

    /// Loads the files again if they changed; whether they did. Files that don't fit leave the
    /// old configuration in use: a renewal writes two files, and between them they don't fit.
    pub fn reload(&self) -> Result<bool> {
        let now = self.files.modified();
        let mut modified = self.modified.lock().unwrap_or_else(|e| e.into_inner());
        if *modified == now {
            return Ok(false);
        }
        let config = self.files.load()?;
        self.config.store(config);
        *modified = now;
        Ok(true)
    }
}
