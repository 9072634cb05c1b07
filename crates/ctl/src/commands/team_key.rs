//! `team-key`: a new key of a team, and its digest for the configuration.

use gumdrop::Options;
use rand::Rng;
use rand::distr::Alphanumeric;
use teaselshunt_teams::ApiKey;

/// Characters of a key: some 238 bits.
const LENGTH: usize = 40;

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
}

/// Prints the key, which nothing keeps, and the digest.
pub(crate) fn run(_arguments: &Arguments) {
    let text: String = rand::rng().sample_iter(Alphanumeric).take(LENGTH).map(char::from).collect();
    println!("key, for the team's callers only: {text}");
    println!("digest, for /teams/N/keys of the configuration: {}", ApiKey::new(text).digest().to_hex());
}
