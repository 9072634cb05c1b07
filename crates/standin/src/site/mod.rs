//! Small stand-ins for the users' platform and endpoints, as far as tests and the soak need them: a store that the
//! system only reads, plain services, and engines that prefill or decode.

mod body;
mod caller;
mod capacity;
mod configuration;
mod crash;
mod endpoint;
mod events;
mod fault;
mod http;
mod instance;
mod link;
mod no_end;
mod pause;
mod store;

pub use body::{SiteBody, SiteCut, SiteFraming, SiteHeadCut};
pub use caller::{is_signed, leaving_endpoint, site_request};
pub use configuration::{FLOODING_TEAM, RIVAL_TEAM, SiteTeam, UNLIMITED_TEAM, site_configuration};
pub use crash::{CRASHING_BODY, CRASHING_PART};
pub use endpoint::{SiteArrival, SiteEndpoint, SiteExecution, SiteOptions};
pub use events::event_text;
pub use fault::SiteFault;
pub use http::RESPONSE_HEADERS;
pub use instance::{SiteInstance, SiteSettings};
pub use link::{LinkMode, SiteLink};
pub use no_end::SiteNoEnd;
pub use pause::SitePause;
pub use store::{Store, StoreBackup, StoreMode};
