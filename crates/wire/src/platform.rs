//! The platform's protocol, HTTP and JSON; see docs/PLATFORM.md. Instances only read from the platform.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Path of the configuration; `?after=VERSION&wait_ms=N` waits for a later version.
pub const CONFIGURATION_PATH: &str = "/configuration";
/// Path of the list of instances; `?after=REVISION&wait_ms=N` waits for a later revision.
pub const INSTANCES_PATH: &str = "/instances";

/// An operator's patch of the configuration. Operators send it to the platform; instances never do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Version that the patch was made against.
    pub base: u64,
    /// RFC 6902 operations.
    pub patch: Value,
}

/// The platform's response to a patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PatchResponse {
    /// Version published now: the new one, or the version that the patch should have been made against.
    pub version: u64,
    /// Why the patch was refused, if it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}
