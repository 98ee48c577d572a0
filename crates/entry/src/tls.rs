//! TLS towards callers. The certificate is read again when its files change.

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

/// The acceptor in force.
pub struct TlsKeeper {
    settings: TlsSettings,
    acceptor: ArcSwap<TlsAcceptor>,
    read_at: parking_lot::Mutex<Option<SystemTime>>,
}

impl TlsKeeper {
    /// Reads certificate and key.
    ///
    /// # Errors
    /// When a file cannot be read or the two do not fit.
    pub fn load(settings: &TlsSettings) -> anyhow::Result<Self> {
        Ok(Self {
            settings: settings.clone(),
            acceptor: ArcSwap::from_pointee(read(settings)?),
            read_at: parking_lot::Mutex::new(changed_at(settings)),
        })
    }

    /// The acceptor in force.
    pub fn acceptor(&self) -> Arc<TlsAcceptor> {
        self.acceptor.load_full()
    }

    /// Reads the files again if they changed; keeps what is in force if they are unfit.
    pub fn refresh(&self) {
        let changed = changed_at(&self.settings);
        let mut read_at = self.read_at.lock();
        if *read_at == changed {
            return;
        }
        *read_at = changed;
        match read(&self.settings) {
            Ok(acceptor) => {
                self.acceptor.store(Arc::new(acceptor));
                log::info!("event=tls_reloaded");
            }
            Err(error) => log::error!("event=tls_reload_failed reason={error:?}"),
        }
    }
}

fn changed_at(settings: &TlsSettings) -> Option<SystemTime> {
    let at = |path: &Path| std::fs::metadata(path).and_then(|m| m.modified()).ok();
    at(&settings.certificate_file).max(at(&settings.key_file))
}

fn read(settings: &TlsSettings) -> anyhow::Result<TlsAcceptor> {
    let chain: Vec<CertificateDer<'static>> =
        CertificateDer::pem_file_iter(&settings.certificate_file)
            .and_then(Iterator::collect)
            .with_context(|| format!("certificate {}", settings.certificate_file.display()))?;
    let key = PrivateKeyDer::from_pem_file(&settings.key_file)
        .with_context(|| format!("key {}", settings.key_file.display()))?;
    let mut config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .context("certificate and key do not fit")?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}
