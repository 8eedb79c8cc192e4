//! Test certificates and keys for mutual TLS between processes.

use std::{
    fs,
    path::{Path, PathBuf},
};

use anyhow::Context as _;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair, date_time_ymd};
use sequoiahold::settings::Keys;

/// A certificate authority for tests.
pub struct Authority {
    dir: PathBuf,
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority that writes its certificate and the keys it issues to `dir`.
    pub fn create(dir: &Path) -> anyhow::Result<Self> {
        let mut params = CertificateParams::new(vec![])?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        fs::write(dir.join("ca.pem"), issuer.pem()).context("cannot write ca.pem")?;
        Ok(Self { dir: dir.to_owned(), issuer })
    }

    /// Issues the certificate and key of a VM and writes them to files.
    pub fn issue(&self, vm: &str) -> anyhow::Result<Keys> {
        self.issue_with(vm, CertificateParams::new(vec![vm.to_owned()])?)
    }

    /// Issues an expired certificate and its key and writes them to files.
    pub fn issue_expired(&self, vm: &str) -> anyhow::Result<Keys> {
        let mut params = CertificateParams::new(vec![vm.to_owned()])?;
        params.not_before = date_time_ymd(2001, 1, 1);
        params.not_after = date_time_ymd(2002, 1, 1);
        self.issue_with(vm, params)
    }

    /// Returns the authority's certificate as PEM text.
    pub fn pem(&self) -> String {
        self.issuer.pem()
    }

    fn issue_with(&self, vm: &str, params: CertificateParams) -> anyhow::Result<Keys> {
        let key = KeyPair::generate()?;
        let cert = params.signed_by(&key, &self.issuer)?;
        let keys = Keys {
            ca: self.dir.join("ca.pem"),
            cert: self.dir.join(format!("{vm}.pem")),
            key: self.dir.join(format!("{vm}.key")),
        };
        fs::write(&keys.cert, cert.pem()).context("cannot write the certificate")?;
        fs::write(&keys.key, key.serialize_pem()).context("cannot write the key")?;
        Ok(keys)
    }
}
