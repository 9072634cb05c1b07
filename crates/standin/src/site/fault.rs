//! Faults of an endpoint.

use super::body::{SiteBody, SiteHeadCut};
use super::http::{Request, response_head};
use super::no_end::SiteNoEnd;

/// A fault of an endpoint. The fault lasts until another one is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SiteFault {
    /// No fault.
    #[default]
    None,
    /// Refuses requests with 503 and `Not-Executed`.
    Refuse,
    /// Refuses reservations too.
    RefuseAll,
    /// Accepts requests and never responds.
    Hang,
    /// Runs requests and closes the connection without a response.
    Lose,
    /// Sends the response of a plain request a second time, after the first.
    Extra,
    /// Sends the response to each call without an id a second time, as a refusal, once the next request on its connection has
    /// arrived.
    LateRefusals,
    /// Sends the response to each request a second time, once the next request on its connection has arrived.
    LateResponses,
    /// Responds with status 500.
    Fail,
    /// Truncates streams after this many events, in the middle of the next event.
    Cut(u32),
    /// Sends the bodies of responses like this.
    Body(SiteBody),
    /// Ends the connection inside the head of each response.
    CutHead(SiteHeadCut),
    /// Sends this text in place of a response; `{id}` stands for the request's id. The connection stays open.
    Text(&'static str),
    /// Sends responses without an end.
    NoEnd(SiteNoEnd),
    /// The same for requests of callers only. Reservations and prefills are granted.
    NoEndOfRuns(SiteNoEnd),
    /// Adds this many bytes to each response, and to each event of a stream.
    Large(usize),
}

impl SiteFault {
    /// What is sent once more of the response to a request, before that to the next.
    pub(super) fn second_response(self, request: &Request) -> Option<String> {
        let id = request.header("request-id");
        match (self, id) {
            (Self::LateRefusals, None) => {
                Some(format!("{}content-length: 0\r\n\r\n", response_head(503, &[("not-executed", "1")])))
            }
            (Self::LateResponses, Some(id)) => {
                let headers = [("request-id", id), ("server-seal", "late")];
                Some(format!("{}content-length: 4\r\n\r\nlate", response_head(200, &headers)))
            }
            _ => None,
        }
    }
}
