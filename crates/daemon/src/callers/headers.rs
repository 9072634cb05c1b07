//! What callers say in headers.

use std::time::Duration;

use poem::Request;
use poem::http::header::AUTHORIZATION;
use poem::http::{HeaderMap, HeaderValue};
use teaselshunt_core::{CallerKey, ErrorKind, IdempotencyKey, Refusal, TeamDirectory};
use teaselshunt_teams::{ApiKey, Teams};
use uuid::Uuid;

use super::answer::Rejection;

/// Time in milliseconds after which the caller has no use for the answer.
const DEADLINE: &str = "x-teaselshunt-deadline-ms";
/// The caller's team.
const TEAM: &str = "openai-organization";
/// Number of the try, which `OpenAI` clients send by themselves.
const RETRY_COUNT: &str = "x-stainless-retry-count";
const IDEMPOTENCY: &str = "idempotency-key";
/// Longest idempotency key.
const KEY_MAX: usize = 255;
/// Longest deadline.
const DEADLINE_MAX: u64 = 86_400_000;
/// Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1), and those that the
/// HTTP client sets itself.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
];

/// What the headers of a request say.
#[derive(Debug)]
pub(crate) struct Terms {
    pub(crate) team: String,
    pub(crate) key: Option<CallerKey>,
    pub(crate) deadline: Duration,
    /// Whether the caller was refused before and comes back.
    pub(crate) again: bool,
}

impl Terms {
    /// Reads the head of a request. `directory` says who holds which key, where callers have keys; callers of a public
    /// `service` need none.
    pub(crate) fn read(
        request: &Request,
        default: Duration,
        directory: Option<&TeamDirectory>,
        service: Option<&str>,
    ) -> Result<Self, Rejection> {
        let headers = request.headers();
        let is_public = |d: &TeamDirectory| service.is_some_and(|name| d.public.contains(name));
        let team = match directory {
            None => text(headers, TEAM)?.unwrap_or_default().to_owned(),
            Some(directory) => match holder(headers, &directory.teams) {
                Some(team) => team,
                None if is_public(directory) => String::new(),
                None => return Err(Rejection::of(Refusal::new(ErrorKind::Unauthorized), None)),
            },
        };
        let key = match text(headers, IDEMPOTENCY)? {
            Some(key) if key.is_empty() || key.len() > KEY_MAX => {
                return Err(invalid(IDEMPOTENCY, &format!("1 to {KEY_MAX} characters are allowed")));
            }
            Some(key) => Some(CallerKey { key: IdempotencyKey::of(&team, key), born: born(key) }),
            None => None,
        };
        let deadline = match text(headers, DEADLINE)? {
            Some(ms) => match ms.parse() {
                Ok(ms @ 1..=DEADLINE_MAX) => Duration::from_millis(ms),
                _ => {
                    return Err(invalid(
                        DEADLINE,
                        &format!("{ms:?} is not a number from 1 to {DEADLINE_MAX}"),
                    ));
                }
            },
            None => default,
        };
        let again = text(headers, RETRY_COUNT)?.is_some_and(|count| count != "0");
        Ok(Self { team, key, deadline, again })
    }
}

/// The team that holds the key which a caller shows. A request with several keys has none.
fn holder(headers: &HeaderMap, teams: &Teams) -> Option<String> {
    const SCHEME: &str = "bearer";
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let (value, another) = (values.next()?, values.next());
    let (scheme, key) = value.to_str().ok()?.trim().split_once(' ')?;
    if another.is_some() || !scheme.eq_ignore_ascii_case(SCHEME) {
        return None;
    }
    let key = ApiKey::new(key.trim().to_owned());
    teams.find(key.digest()).map(|team| team.name.to_string())
}

/// Headers of a service call to pass on, where callers have keys: the endpoint sees the team that holds the key, whatever the
/// caller wrote, and never the key.
pub(crate) fn with_team(mut headers: HeaderMap, team: &str) -> HeaderMap {
    headers.remove(AUTHORIZATION);
    headers.remove(TEAM);
    // A name that no header can hold cannot be told; the endpoint then sees none.
    if let Some(name) = HeaderValue::from_str(team).ok().filter(|_| !team.is_empty()) {
        headers.insert(TEAM, name);
    }
    headers
}

/// When a key was made, if it is a UUID that tells (RFC 9562, version 7).
fn born(key: &str) -> Option<u64> {
    let id = Uuid::parse_str(key).ok().filter(|id| id.get_version_num() == 7)?;
    let (seconds, nanos) = id.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Rejection> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| invalid(name, "only visible ASCII is allowed"))
}

fn invalid(name: &str, detail: &str) -> Rejection {
    Rejection::new(ErrorKind::Invalid, format!("header {name}: {detail}"))
}

/// Headers to pass on.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !HOP_BY_HOP.contains(&name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
