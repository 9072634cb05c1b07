//! Request headers of callers.

use std::time::Duration;

use poem::Request;
use poem::http::header::AUTHORIZATION;
use poem::http::{HeaderMap, HeaderValue};
use teaselshunt_core::{CallerKey, ErrorKind, IdempotencyKey, Refusal, TeamDirectory};
use teaselshunt_teams::{ApiKey, Teams};
use uuid::Uuid;

use super::answer::RefusalResponse;

/// Time in milliseconds after which the caller does not need the response any more.
const DEADLINE_HEADER: &str = "x-teaselshunt-deadline-ms";
/// The caller's team.
const TEAM_HEADER: &str = "openai-organization";
/// Number of the retry, which `OpenAI` clients send automatically; 0 in the first request.
const RETRY_COUNT_HEADER: &str = "x-stainless-retry-count";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 255;
/// Longest deadline: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Headers that apply to a single connection and are not passed on (RFC 9110, section 7.6.1), and headers
/// that the HTTP client sets itself.
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

/// Parsed headers of a request.
#[derive(Debug)]
pub(crate) struct RequestHeaders {
    pub(crate) team: String,
    pub(crate) key: Option<CallerKey>,
    /// Whether the caller marks the request as a retry after a refusal.
    pub(crate) is_retry: bool,
}

impl RequestHeaders {
    /// Parses the headers of a request. `directory` holds the teams by API key, if any team has a key; every
    /// caller must then present a key, except callers of a public `service`.
    pub(crate) fn read(
        request: &Request,
        directory: Option<&TeamDirectory>,
        service: Option<&str>,
    ) -> Result<Self, RefusalResponse> {
        let headers = request.headers();
        let is_public = |d: &TeamDirectory| service.is_some_and(|name| d.public.contains(name));
        let team = match directory {
            None => header_text(headers, TEAM_HEADER)?.unwrap_or_default().to_owned(),
            Some(directory) => match team_of_key(headers, &directory.teams) {
                Some(team) => team,
                None if is_public(directory) => String::new(),
                None => return Err(RefusalResponse::of(Refusal::new(ErrorKind::Unauthorized), None)),
            },
        };
        let key = match header_text(headers, IDEMPOTENCY_KEY_HEADER)? {
            Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
                return Err(invalid_header(
                    IDEMPOTENCY_KEY_HEADER,
                    &format!("1 to {MAX_KEY_BYTES} characters are allowed"),
                ));
            }
            Some(key) => Some(CallerKey { key: IdempotencyKey::of(&team, key), born: creation_time_ms(key) }),
            None => None,
        };
        let is_retry = header_text(headers, RETRY_COUNT_HEADER)?.is_some_and(|count| count != "0");
        Ok(Self { team, key, is_retry })
    }
}

/// Time that a caller allows for its request, if it states one.
pub(crate) fn stated_deadline(headers: &HeaderMap) -> Result<Option<Duration>, RefusalResponse> {
    let Some(ms) = header_text(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    if let Ok(ms @ 1..=MAX_DEADLINE_MS) = ms.parse() {
        return Ok(Some(Duration::from_millis(ms)));
    }
    Err(invalid_header(DEADLINE_HEADER, &format!("{ms:?} is not a number from 1 to {MAX_DEADLINE_MS}")))
}

/// Team of the API key that a caller presents. `None` for an unknown key and for a request with several keys.
fn team_of_key(headers: &HeaderMap, teams: &Teams) -> Option<String> {
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

/// Headers of a service call to pass on if teams have API keys. The endpoint receives the team of the key,
/// regardless of the team that the caller states, and never the key.
pub(crate) fn with_verified_team(mut headers: HeaderMap, team: &str) -> HeaderMap {
    headers.remove(AUTHORIZATION);
    headers.remove(TEAM_HEADER);
    // A team name that is no valid header value cannot be passed on; the endpoint then receives no team.
    if let Some(name) = HeaderValue::from_str(team).ok().filter(|_| !team.is_empty()) {
        headers.insert(TEAM_HEADER, name);
    }
    headers
}

/// Creation time of an idempotency key in milliseconds since the Unix epoch, if the key is a UUID that
/// contains one (RFC 9562, version 7).
fn creation_time_ms(key: &str) -> Option<u64> {
    let id = Uuid::parse_str(key).ok().filter(|id| id.get_version_num() == 7)?;
    let (seconds, nanos) = id.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RefusalResponse> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| invalid_header(name, "only visible ASCII is allowed"))
}

fn invalid_header(name: &str, detail: &str) -> RefusalResponse {
    RefusalResponse::new(ErrorKind::Invalid, format!("header {name}: {detail}"))
}

/// Headers to pass on: all except [`HOP_BY_HOP`].
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !HOP_BY_HOP.contains(&name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
