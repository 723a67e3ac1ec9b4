//! TLS configuration of a listener, reloaded from its files without a restart.

use arc_swap::ArcSwap;
use rustls::ServerConfig;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;
use std::{fmt, fs, io};

/// Result of loading a certificate and key.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of loading a certificate and key.
#[derive(Debug)]
pub enum Error {
    /// A file can't be read.
    File(PathBuf, io::Error),
    /// A file holds no certificate or no key.
    Pem(PathBuf, rustls_pki_types::pem::Error),
    /// The certificate and the key do not match.
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

/// Paths of a certificate chain and its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    /// Path of the certificate chain, in PEM format.
    pub certificate: PathBuf,
    /// Path of the private key, in PEM format.
    pub key: PathBuf,
}

impl Files {
    /// Reads both files and creates a server configuration.
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

    /// Returns the modification times of both files. Comparing only the newer of the two would miss
    /// a replaced certificate that is older than the key's file.
    fn modified(&self) -> ModifiedTimes {
        let time = |path: &Path| fs::metadata(path).and_then(|m| m.modified()).ok();
        ModifiedTimes {
            certificate: time(&self.certificate),
            key: time(&self.key),
        }
    }
}

/// Modification times of the files; `None` if the file system does not provide them.
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

/// A TLS configuration that can be replaced while connections are served.
pub struct ReloadableConfig {
    files: Files,
    config: ArcSwap<ServerConfig>,
    modified: std::sync::Mutex<ModifiedTimes>,
}

impl ReloadableConfig {
    /// Loads the files and creates the configuration.
    pub fn open(files: Files) -> Result<Self> {
        let modified = files.modified();
        let config = files.load()?;
        Ok(Self {
            files,
            config: ArcSwap::new(config),
            modified: std::sync::Mutex::new(modified),
        })
    }

    /// Returns the configuration for a new connection.
    pub fn current(&self) -> Arc<ServerConfig> {
        self.config.load_full()
    }

    /// Loads the files again if they have changed, and returns whether they had. On an error the
    /// old configuration stays in use: a renewal writes two files, which do not match in between.
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
