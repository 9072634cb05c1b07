//! Mutual TLS between instances, with the fleet's own certificate authority.
//!
//! The certificate of an instance holds the instance's name. A connecting peer must present a certificate of
//! the authority. The peer is identified by the name in its certificate, regardless of its address.

use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use teaselshunt_core::InstanceId;
use teaselshunt_settings::Keys;

/// Time without any packet from the peer after which a connection is closed. Heartbeats are sent every
/// second, so a connection whose state a network device has lost is replaced after three lost heartbeats.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Application protocol of the handshake (ALPN). Only peers of the same protocol version connect to each
/// other.
const ALPN_PROTOCOL: &[u8] = b"teaselshunt/2";
/// Messages in flight at once on one connection of a peer.
const MAX_CONCURRENT_STREAMS: u32 = 256;

/// Why keys cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum KeyError {
    #[error("{path}: {error}")]
    File { path: String, error: rustls::pki_types::pem::Error },
    #[error("invalid keys: {0}")]
    Tls(#[from] rustls::Error),
    #[error("authority: {0}")]
    Authority(#[from] rustls::server::VerifierBuilderError),
    #[error("cipher suites: {0}")]
    Suites(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
}

/// TLS configurations for both directions of a connection.
pub(crate) struct Tls {
    pub(crate) client: quinn::ClientConfig,
    pub(crate) server: quinn::ServerConfig,
}

/// Reads the key files and builds the TLS configurations.
pub(crate) fn load(keys: &Keys) -> Result<Tls, KeyError> {
    let mut roots = RootCertStore::empty();
    for authority in certificates(&keys.authority)? {
        roots.add(authority)?;
    }
    let roots = Arc::new(roots);
    let chain = certificates(&keys.certificate)?;
    let private = PrivateKeyDer::from_pem_file(&keys.private)
        .map_err(|error| KeyError::File { path: keys.private.clone(), error })?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut client = ClientConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(Arc::clone(&roots))
        .with_client_auth_cert(chain.clone(), private.clone_key())?;
    client.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider)).build()?;
    let mut server = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, private)?;
    server.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let transport = Arc::new(transport());
    let mut client = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
    client.transport_config(Arc::clone(&transport));
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
    server.transport_config(transport);
    Ok(Tls { client, server })
}

fn transport() -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    transport.max_idle_timeout(Some(IDLE_TIMEOUT.try_into().expect("a few seconds fit a QUIC idle timeout")));
    transport.max_concurrent_uni_streams(MAX_CONCURRENT_STREAMS.into());
    transport.max_concurrent_bidi_streams(0_u32.into());
    transport
}

fn certificates(path: &str) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let file = |error| KeyError::File { path: path.to_owned(), error };
    CertificateDer::pem_file_iter(path).map_err(file)?.collect::<Result<_, _>>().map_err(file)
}

/// The instance that a connection's certificate names.
pub(crate) fn peer_instance(connection: &quinn::Connection) -> Option<InstanceId> {
    let identity = connection.peer_identity()?.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    let certificate = webpki::EndEntityCert::try_from(identity.first()?).ok()?;
    let name = certificate.valid_dns_names().next()?;
    Some(InstanceId::of(name))
}
