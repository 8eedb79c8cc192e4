//! Addresses of the platform's services.

use serde::{Deserialize, Serialize};

/// Base URLs of the platform's services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The base URL of the configuration service, such as `http://10.0.0.1:7000`.
    pub config: String,
    /// The base URL of the list of live and leaving VMs.
    pub vms: String,
}

impl Platform {
    pub(super) fn validate(&self) -> Result<(), (String, String)> {
        check_url("platform.config", &self.config)?;
        check_url("platform.vms", &self.vms)
    }
}

pub(super) fn check_url(key: &str, url: &str) -> Result<(), (String, String)> {
    if url.starts_with("http://") || url.starts_with("https://") {
        return Ok(());
    }
    Err((key.to_owned(), format!("{url:?} is not an address that starts with http:// or https://")))
}
