//! `team-key`: generates a key for a team, and its digest for the configuration.

use gumdrop::Options;
use rand::Rng;
use rand::distr::Alphanumeric;
use teaselshunt_teams::ApiKey;

/// Characters of a key, which have about 238 bits of entropy.
const KEY_CHARACTERS: usize = 40;

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
}

/// Prints the key, which is stored nowhere, and its digest.
pub(crate) fn run(_arguments: &Arguments) {
    let text: String = rand::rng().sample_iter(Alphanumeric).take(KEY_CHARACTERS).map(char::from).collect();
    println!("key, for the team's callers only: {text}");
    println!("digest, for /teams/N/keys of the configuration: {}", ApiKey::new(text).digest().to_hex());
}
