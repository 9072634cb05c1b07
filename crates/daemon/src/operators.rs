//! The operators' listener: metrics, status, audit trail, readiness, drain.

use std::collections::BTreeMap;
use std::sync::Arc;

use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Json, Query};
use poem::{EndpointExt, IntoResponse, Response, Route, Server, get, handler, post};
use serde::Deserialize;
use teaselshunt_core::{Event, InstanceView, TeamView};
use teaselshunt_wire::status::{ClassStatus, EndpointStatus, MemberStatus, Status, TeamStatus};
use tokio::net::TcpListener;

use crate::audit::Trail;
use crate::control::Control;
use crate::metrics::Metrics;

/// What handlers need.
#[derive(Debug, Clone)]
pub(crate) struct Desk {
    pub(crate) instance: String,
    pub(crate) domain: String,
    pub(crate) control: Control,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) trail: Arc<Trail>,
}

/// Serves operators until the process ends.
pub(crate) async fn serve(listener: TcpListener, desk: Desk) -> std::io::Result<()> {
    let route = Route::new()
        .at("/metrics", get(metrics))
        .at("/status", get(status))
        .at("/audit", get(audit))
        .at("/ready", get(ready))
        .at("/live", get(live))
        .at("/drain", post(drain))
        .data(desk);
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    Server::new_with_acceptor(acceptor).run(route).await
}

#[handler]
async fn metrics(Data(desk): Data<&Desk>) -> Response {
    let Some(snapshot) = desk.control.snapshot().await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    match desk.metrics.render(&snapshot) {
        Ok(text) => Response::builder().content_type("text/plain; version=0.0.4").body(text),
        Err(error) => error.to_string().with_status(StatusCode::INTERNAL_SERVER_ERROR).into_response(),
    }
}

#[handler]
async fn status(Data(desk): Data<&Desk>) -> Response {
    match desk.control.snapshot().await {
        Some(snapshot) => Json(report(desk, snapshot)).into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn report(desk: &Desk, snapshot: InstanceView) -> Status {
    let members = snapshot.members.into_iter().map(|m| MemberStatus {
        name: m.name,
        domain: m.domain,
        health: m.health.text().to_owned(),
        version: m.version,
        leaving: m.leaving,
    });
    let endpoints = snapshot.endpoints.into_iter().map(|e| EndpointStatus {
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
    let classes = snapshot.counters.classes.into_iter().map(|((class, site), c)| ClassStatus {
        class,
        site,
        answered: c.answered,
        good: c.good,
        prefilled: c.prefilled_tokens,
        wasted: c.wasted_tokens,
    });
    let teams = snapshot.teams.into_iter().map(|team| {
        let TeamView { name, rate, burst, level, admitted } = team;
        TeamStatus { name, rate, burst, level, admitted }
    });
    let refused = snapshot.counters.refused.into_iter().map(|(code, count)| (code.to_owned(), count));
    Status {
        instance: desk.instance.clone(),
        domain: desk.domain.clone(),
        version: snapshot.version,
        revision: snapshot.revision,
        stopping: snapshot.stopping,
        requests: snapshot.requests,
        waiting: snapshot.waiting,
        arrived: snapshot.counters.arrived,
        refused: refused.collect::<BTreeMap<_, _>>(),
        members: members.collect(),
        endpoints: endpoints.collect(),
        classes: classes.collect(),
        teams: teams.collect(),
    }
}

#[derive(Debug, Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

#[handler]
fn audit(Data(desk): Data<&Desk>, Query(query): Query<From>) -> Response {
    Response::builder().content_type("application/x-ndjson").body(desk.trail.lines(query.from))
}

/// Ready once a configuration is in force and no stop is under way; what a balancer should ask.
#[handler]
async fn ready(Data(desk): Data<&Desk>) -> StatusCode {
    match desk.control.snapshot().await {
        Some(snapshot) if snapshot.version > 0 && !snapshot.stopping => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

#[handler]
fn live() -> StatusCode {
    StatusCode::OK
}

/// Begins a planned stop, like SIGTERM.
#[handler]
fn drain(Data(desk): Data<&Desk>) -> StatusCode {
    desk.control.send(Event::Stop);
    StatusCode::ACCEPTED
}
