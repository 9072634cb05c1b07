//! Tests of the codecs.

mod peer;
