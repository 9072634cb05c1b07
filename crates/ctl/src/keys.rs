//! Keys of a fleet: a certificate authority, and a certificate and key for each instance.

use std::path::{Path, PathBuf};

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

/// Failure to generate keys.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// A file cannot be read or written.
    #[error("{}: {error}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The cryptography library reports an error.
    #[error("cannot generate keys: {0}")]
    Generate(#[from] rcgen::Error),
}

/// Writes `NAME.pem` and `NAME.key` for each instance into a directory. The certificates are signed by the
/// authority found in the directory or by a new one.
///
/// # Errors
/// A file cannot be read or written, or a certificate cannot contain one of the names.
pub fn generate_keys(directory: &Path, instances: &[String]) -> Result<(), KeyError> {
    std::fs::create_dir_all(directory)
        .map_err(|error| KeyError::File { path: directory.to_owned(), error })?;
    let authority = authority(directory)?;
    for name in instances {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![name.clone()])?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate = params.signed_by(&key, &authority)?;
        write(&directory.join(format!("{name}.pem")), &certificate.pem())?;
        write(&directory.join(format!("{name}.key")), &key.serialize_pem())?;
    }
    Ok(())
}

fn authority(directory: &Path) -> Result<Issuer<'static, KeyPair>, KeyError> {
    let (certificate, private) = (directory.join("authority.pem"), directory.join("authority.key"));
    if private.exists() {
        let text = std::fs::read_to_string(&private)
            .map_err(|error| KeyError::File { path: private.clone(), error })?;
        return Ok(Issuer::new(authority_params()?, KeyPair::from_pem(&text)?));
    }
    let key = KeyPair::generate()?;
    let params = authority_params()?;
    write(&certificate, &params.self_signed(&key)?.pem())?;
    write(&private, &key.serialize_pem())?;
    Ok(Issuer::new(params, key))
}

fn authority_params() -> Result<CertificateParams, rcgen::Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.distinguished_name.push(DnType::CommonName, "teaselshunt fleet authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
    Ok(params)
}

fn write(path: &Path, text: &str) -> Result<(), KeyError> {
    std::fs::write(path, text).map_err(|error| KeyError::File { path: path.to_owned(), error })
}
