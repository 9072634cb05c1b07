//! Small stand-ins for what surrounds the system: engines, plain services, the platform, and a network
//! between two processes.
//!
//! The stand-ins implement the published protocols of docs/ENGINE.md and docs/PLATFORM.md and nothing beyond
//! them. Tests, the quickstart and experiments use them, inside a test process or as processes of their own.
//! Stand-ins inject faults on command. The text that an engine generates is a function of prompt and offset
//! ([`generated_token`]), so that a test can check that a caller got exactly its own complete response.

mod content;
mod engine;
mod no_end;
mod platform;
mod relay;
mod server;
mod service;
mod site;

pub use content::{generated_length, generated_text, generated_token};
pub use engine::{Engine, EngineOptions, Faults};
pub use no_end::{NoEnd, NoEndRelay};
pub use platform::Platform;
pub use relay::Relay;
pub use service::{Execution, Service, ServiceFaults, Unframed};
pub use site::{
    CRASHING_BODY, CRASHING_PART, FLOODING_TEAM, LinkMode, RESPONSE_HEADERS, RIVAL_TEAM, SiteArrival,
    SiteBody, SiteCut, SiteEndpoint, SiteExecution, SiteFault, SiteFraming, SiteHeadCut, SiteInstance,
    SiteLink, SiteNoEnd, SiteOptions, SitePause, SiteSettings, SiteTeam, Store, StoreBackup, StoreMode,
    UNLIMITED_TEAM, event_text, is_signed, leaving_endpoint, site_configuration, site_request,
};
