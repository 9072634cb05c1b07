//! Teams: which team a caller belongs to by its key, and how much each team may request of the system.
//!
//! `key` holds what must not be printed, `directory` finds the team of a key, and `quota` limits teams across
//! many instances that do not coordinate. The crate does no input or output, and the clock is passed in, so
//! that `teaselshunt-core` and `teaselshunt-forward` both use it.

mod directory;
mod key;
mod quota;

pub use directory::{Limit, Team, TeamTag, Teams, Unit};
pub use key::{ApiKey, KeyDigest};
pub use quota::{LimitExceeded, QuotaMode, Quotas, RequestClass, StartKind, TeamSpending, UpdateHeader};
