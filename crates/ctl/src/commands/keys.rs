//! `keys`: an authority, and a certificate and key for each instance.

use std::path::{Path, PathBuf};

use gumdrop::Options;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair, KeyUsagePurpose,
};

use super::{Failure, read};

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "directory to write to; an authority found there is used again")]
    directory: String,
    #[options(free, help = "names of instances")]
    instances: Vec<String>,
}

pub(crate) fn run(arguments: &Arguments) -> Result<(), Failure> {
    let directory = PathBuf::from(&arguments.directory);
    std::fs::create_dir_all(&directory)
        .map_err(|error| Failure::File { path: arguments.directory.clone(), error })?;
    let authority = authority(&directory)?;
    for name in &arguments.instances {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![name.clone()])?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate = params.signed_by(&key, &authority)?;
        write(&directory.join(format!("{name}.pem")), &certificate.pem())?;
        write(&directory.join(format!("{name}.key")), &key.serialize_pem())?;
    }
    println!("{} keys in {}", arguments.instances.len(), directory.display());
    Ok(())
}

fn authority(directory: &Path) -> Result<Issuer<'static, KeyPair>, Failure> {
    let (certificate, private) = (directory.join("authority.pem"), directory.join("authority.key"));
    if private.exists() {
        let key = KeyPair::from_pem(&read(&private.to_string_lossy())?)?;
        return Ok(Issuer::new(authority_params()?, key));
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

fn write(path: &Path, text: &str) -> Result<(), Failure> {
    std::fs::write(path, text)
        .map_err(|error| Failure::File { path: path.to_string_lossy().into_owned(), error })
}
