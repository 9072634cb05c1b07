//! Measurements.

fn main() {}
