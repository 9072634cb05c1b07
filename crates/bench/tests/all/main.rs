//! The decision core under random faults in virtual time, and the same for faults that once broke something.
//!
//! Every run is drawn from fixed seeds, so the verdict is the same each time. `teaselshunt-bench chaos` runs as
//! many others as one likes.

mod found;
mod keys;
mod policy;
mod quotas;
mod random;
mod rates;
