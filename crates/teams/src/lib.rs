//! Teams: who a caller is by its key, and how much each team may ask of the whole system.
//!
//! `key` holds what must not be seen, `directory` finds a key's team, `quota` limits teams over many instances that agree
//! on nothing. No input or output, and the clock is passed in, so that both interfaces of the product use it.

mod directory;
mod key;
mod quota;

pub use directory::{Limit, Team, TeamTag, Teams, Unit};
pub use key::{ApiKey, KeyDigest};
pub use quota::{LimitExceeded, QuotaMode, Quotas, StartKind, TeamSpending, UpdateHeader};
