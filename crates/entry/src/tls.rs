//! TLS for callers' connections. The certificate is reloaded when its files change.

use std::path::Path;
use std::sync::Arc;
use std::time::SystemTime;

use anyhow::Context;
use arc_swap::ArcSwap;
use rustls::ServerConfig;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::TlsAcceptor;

use crate::settings::TlsSettings;

/// Holds the current TLS acceptor and reloads it when the files change.
pub struct TlsReloader {
    settings: TlsSettings,
    acceptor: ArcSwap<TlsAcceptor>,
    modified_at: parking_lot::Mutex<Option<SystemTime>>,
}

impl TlsReloader {
    /// Loads the certificate and the key.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read or the key does not match the certificate.
    pub fn load(settings: &TlsSettings) -> anyhow::Result<Self> {
        Ok(Self {
            settings: settings.clone(),
            acceptor: ArcSwap::from_pointee(load_acceptor(settings)?),
            modified_at: parking_lot::Mutex::new(latest_modification(settings)),
        })
    }

    /// Returns the current acceptor.
    pub fn acceptor(&self) -> Arc<TlsAcceptor> {
        self.acceptor.load_full()
    }

    /// Reloads the files if they changed. Keeps the current acceptor if they are invalid.
    pub fn refresh(&self) {
        let modified = latest_modification(&self.settings);
        let mut modified_at = self.modified_at.lock();
        if *modified_at == modified {
            return;
        }
        *modified_at = modified;
        match load_acceptor(&self.settings) {
            Ok(acceptor) => {
                self.acceptor.store(Arc::new(acceptor));
                log::info!("event=tls_reloaded");
            }
            Err(error) => log::error!("event=tls_reload_failed reason={error:?}"),
        }
    }
}

fn latest_modification(settings: &TlsSettings) -> Option<SystemTime> {
    let modification_time = |path: &Path| std::fs::metadata(path).and_then(|m| m.modified()).ok();
    modification_time(&settings.certificate_file).max(modification_time(&settings.key_file))
}

fn load_acceptor(settings: &TlsSettings) -> anyhow::Result<TlsAcceptor> {
    let chain: Vec<CertificateDer<'static>> =
        CertificateDer::pem_file_iter(&settings.certificate_file)
            .and_then(Iterator::collect)
            .with_context(|| format!("certificate file {}", settings.certificate_file.display()))?;
    let key = PrivateKeyDer::from_pem_file(&settings.key_file)
        .with_context(|| format!("key file {}", settings.key_file.display()))?;
    let mut config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .context("private key does not match the certificate")?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}
