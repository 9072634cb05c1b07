//! The platform's protocol, HTTP and JSON; see docs/PLATFORM.md. The system only reads.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Path of the configuration; `?after=VERSION&wait_ms=N` waits for a later version.
pub const CONFIGURATION_PATH: &str = "/configuration";
/// Path of the list of instances; `?after=REVISION&wait_ms=N` waits for a later one.
pub const INSTANCES_PATH: &str = "/instances";

/// An operator's patch; operators send it to the platform, the system never does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Version that the patch was made against.
    pub base: u64,
    /// RFC 6902 operations.
    pub patch: Value,
}

/// The platform's answer to a patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PatchResponse {
    /// Version published now: the new one, or the one that the patch should have been made against.
    pub version: u64,
    /// Why the patch was refused, if it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}
