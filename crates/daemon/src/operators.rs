//! The HTTP server for operators: metrics, status, audit trail, readiness, liveness and drain.

use std::collections::BTreeMap;
use std::sync::Arc;

use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Json, Query};
use poem::{EndpointExt, IntoResponse, Response, Route, Server, get, handler, post};
use serde::Deserialize;
use teaselshunt_core::{InstanceView, TeamView};
use teaselshunt_wire::status::{ClassStatus, EndpointStatus, MemberStatus, Status, TeamStatus};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::audit::AuditTrail;
use crate::control::Control;
use crate::metrics::Metrics;

/// State that the HTTP handlers share.
#[derive(Debug, Clone)]
pub(crate) struct OperatorApi {
    pub(crate) instance: String,
    pub(crate) domain: String,
    pub(crate) control: Control,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) trail: Arc<AuditTrail>,
    /// Notified when an operator starts a graceful shutdown.
    pub(crate) drain: Arc<Notify>,
}

/// Serves operators until the process exits.
pub(crate) async fn serve(listener: TcpListener, api: OperatorApi) -> std::io::Result<()> {
    let route = Route::new()
        .at("/metrics", get(metrics))
        .at("/status", get(status))
        .at("/audit", get(audit))
        .at("/ready", get(ready))
        .at("/live", get(live))
        .at("/drain", post(drain))
        .data(api);
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    Server::new_with_acceptor(acceptor).run(route).await
}

#[handler]
async fn metrics(Data(api): Data<&OperatorApi>) -> Response {
    let Some(view) = api.control.view().await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    match api.metrics.render(&view) {
        Ok(text) => Response::builder().content_type("text/plain; version=0.0.4").body(text),
        Err(error) => error.to_string().with_status(StatusCode::INTERNAL_SERVER_ERROR).into_response(),
    }
}

#[handler]
async fn status(Data(api): Data<&OperatorApi>) -> Response {
    match api.control.view().await {
        Some(view) => Json(status_of(api, view)).into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn status_of(api: &OperatorApi, view: InstanceView) -> Status {
    let members = view.members.into_iter().map(|m| MemberStatus {
        name: m.name,
        domain: m.domain,
        health: m.health.text().to_owned(),
        version: m.version,
        leaving: m.leaving,
    });
    let endpoints = view.endpoints.into_iter().map(|e| EndpointStatus {
        name: e.name,
        site: e.site,
        pool: e.pool,
        role: e.role,
        own: e.own,
        others: e.others,
        slots: e.slots,
        leaving: e.leaving,
        reachable: !e.paused,
    });
    let classes = view.counters.classes.into_iter().map(|((class, site), c)| ClassStatus {
        class,
        site,
        answered: c.answered,
        good: c.good,
        prefilled: c.prefilled_tokens,
        wasted: c.wasted_tokens,
    });
    let teams = view.teams.into_iter().map(|team| {
        let TeamView { name, rate, burst, level, admitted } = team;
        TeamStatus { name, rate, burst, level, admitted }
    });
    let refused = view.counters.refused.into_iter().map(|(code, count)| (code.to_owned(), count));
    Status {
        instance: api.instance.clone(),
        domain: api.domain.clone(),
        version: view.version,
        revision: view.revision,
        stopping: view.stopping,
        requests: view.requests,
        waiting: view.waiting,
        arrived: view.counters.arrived,
        refused: refused.collect::<BTreeMap<_, _>>(),
        members: members.collect(),
        endpoints: endpoints.collect(),
        classes: classes.collect(),
        teams: teams.collect(),
    }
}

/// Query parameters of `/audit`.
#[derive(Debug, Deserialize)]
struct AuditQuery {
    /// Sequence number of the first line to return.
    #[serde(default)]
    from: u64,
}

#[handler]
fn audit(Data(api): Data<&OperatorApi>, Query(query): Query<AuditQuery>) -> Response {
    Response::builder().content_type("application/x-ndjson").body(api.trail.lines(query.from))
}

/// Readiness for load balancers: a configuration is active and the instance is not shutting down.
#[handler]
async fn ready(Data(api): Data<&OperatorApi>) -> StatusCode {
    match api.control.view().await {
        Some(view) if view.version > 0 && !view.stopping => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

#[handler]
fn live() -> StatusCode {
    StatusCode::OK
}

/// Starts a graceful shutdown, as SIGTERM does.
#[handler]
fn drain(Data(api): Data<&OperatorApi>) -> StatusCode {
    api.drain.notify_one();
    StatusCode::ACCEPTED
}
