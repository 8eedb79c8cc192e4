//! Mutual TLS between the system's processes.

use std::{
    fs, io,
    path::Path,
    sync::Arc,
    time::{Duration, SystemTime},
};

use anyhow::{Context as _, ensure};
use quinn::{
    ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject as _},
    server::WebPkiClientVerifier,
};
use sequoiahold_core::proto::PROTOCOL;

use crate::settings::Keys;

/// Idle time after which QUIC closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of concurrent streams that a peer may open.
const MAX_STREAMS: u32 = 1024;

/// TLS configuration of both directions.
#[derive(Clone, Debug)]
pub struct Tls {
    /// Configuration of connections that this process opens.
    pub client: ClientConfig,
    /// Configuration of connections that this process accepts.
    pub server: ServerConfig,
    /// Modification times of the CA, certificate and key files when they were read.
    pub modified: [SystemTime; 3],
}

impl Tls {
    /// Reads the key files; fails if one cannot be read or contains no certificate.
    pub fn load(keys: &Keys) -> anyhow::Result<Self> {
        let modified = modified_times(keys)?;
        let mut roots = RootCertStore::empty();
        for cert in CertificateDer::pem_file_iter(&keys.ca).context("keys.ca")? {
            roots.add(cert.context("keys.ca")?)?;
        }
        let roots = Arc::new(roots);
        let chain: Vec<_> = CertificateDer::pem_file_iter(&keys.cert)
            .and_then(Iterator::collect)
            .context("keys.cert")?;
        ensure!(!roots.is_empty(), "keys.ca: {} contains no certificate", keys.ca.display());
        ensure!(!chain.is_empty(), "keys.cert: {} contains no certificate", keys.cert.display());
        let key = || PrivateKeyDer::from_pem_file(&keys.key).context("keys.key");
        let provider = Arc::new(rustls::crypto::ring::default_provider());

        let verifier =
            WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build()?;
        let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key()?)?;
        server.alpn_protocols = vec![PROTOCOL.to_vec()];

        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key()?)?;
        client.alpn_protocols = vec![PROTOCOL.to_vec()];

        let mut server = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
        server.transport_config(transport_config()?);
        let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
        client.transport_config(transport_config()?);
        Ok(Self { client, server, modified })
    }
}

/// Returns the modification times of the CA, certificate and key files.
pub(super) fn modified_times(keys: &Keys) -> anyhow::Result<[SystemTime; 3]> {
    let modified = |path: &Path| fs::metadata(path)?.modified();
    let read =
        || Ok::<_, io::Error>([modified(&keys.ca)?, modified(&keys.cert)?, modified(&keys.key)?]);
    read().context("keys")
}

fn transport_config() -> anyhow::Result<Arc<TransportConfig>> {
    let mut config = TransportConfig::default();
    config.max_idle_timeout(Some(IdleTimeout::try_from(IDLE_TIMEOUT)?));
    config.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    Ok(Arc::new(config))
}
