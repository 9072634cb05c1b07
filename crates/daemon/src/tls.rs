//! Keys between instances: mutual TLS with the fleet's own authority.
//!
//! An instance's certificate carries its name. Whoever connects must show a certificate of the authority, and
//! is taken for the instance that the certificate names, whatever its address.

use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use teaselshunt_core::InstanceId;
use teaselshunt_settings::Keys;

/// A connection without any sign of life for this long is given up. Heartbeats come every second, so a
/// connection that something on the way has lost track of is replaced after three of them.
const SILENCE: Duration = Duration::from_secs(3);
/// Protocol name, so that only peers of this protocol version understand each other.
const PROTOCOL: &[u8] = b"teaselshunt/2";
/// Messages of one peer in flight at once.
const STREAMS: u32 = 256;

/// Keys that cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum KeyError {
    #[error("{path}: {error}")]
    File { path: String, error: rustls::pki_types::pem::Error },
    #[error("keys do not fit: {0}")]
    Tls(#[from] rustls::Error),
    #[error("authority: {0}")]
    Authority(#[from] rustls::server::VerifierBuilderError),
    #[error("cipher suites: {0}")]
    Suites(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
}

/// TLS set up for both directions.
pub(crate) struct Tls {
    pub(crate) client: quinn::ClientConfig,
    pub(crate) server: quinn::ServerConfig,
}

/// Reads the key files.
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
    client.alpn_protocols = vec![PROTOCOL.to_vec()];
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider)).build()?;
    let mut server = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, private)?;
    server.alpn_protocols = vec![PROTOCOL.to_vec()];
    let transport = Arc::new(transport());
    let mut client = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
    client.transport_config(Arc::clone(&transport));
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
    server.transport_config(transport);
    Ok(Tls { client, server })
}

fn transport() -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    transport.max_idle_timeout(Some(SILENCE.try_into().expect("a few seconds fit a QUIC idle timeout")));
    transport.max_concurrent_uni_streams(STREAMS.into());
    transport.max_concurrent_bidi_streams(0_u32.into());
    transport
}

fn certificates(path: &str) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let file = |error| KeyError::File { path: path.to_owned(), error };
    CertificateDer::pem_file_iter(path).map_err(file)?.collect::<Result<_, _>>().map_err(file)
}

/// The instance that a connection's certificate names.
pub(crate) fn peer(connection: &quinn::Connection) -> Option<InstanceId> {
    let identity = connection.peer_identity()?.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    let certificate = webpki::EndEntityCert::try_from(identity.first()?).ok()?;
    let name = certificate.valid_dns_names().next()?;
    Some(InstanceId::of(name))
}
