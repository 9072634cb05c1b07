//! Derives the requirements of a new request from the active configuration.

use std::time::Duration;

use crate::error::{ErrorKind, Refusal};
use crate::event::{Call, Effect, Generate, Work};
use crate::instance::Instance;
use crate::lifecycle::RETRY_ELSEWHERE_AFTER;
use crate::requests::{Kind, NewRequest};
use crate::{RequestId, Ticket};

/// Longest wait for a service slot: plain services respond quickly, and their callers expect it.
const SERVICE_WAIT: Duration = Duration::from_secs(2);
/// Priority of all service calls.
const SERVICE_PRIORITY: u8 = 0;

impl Instance {
    /// Refuses a request that was not accepted.
    pub(crate) fn refuse_unopened(&mut self, ticket: Ticket, refusal: Refusal, out: &mut Vec<Effect>) {
        self.count_refusal(refusal.kind);
        out.push(Effect::Refuse { ticket, refusal });
    }

    pub(crate) fn new_request(&self, ticket: Ticket, work: Work) -> Result<NewRequest, Refusal> {
        if self.members.stopping {
            return Err(Refusal::retryable(ErrorKind::Stopping, RETRY_ELSEWHERE_AFTER));
        }
        if self.versions.current().is_none() {
            return Err(Refusal::retryable(ErrorKind::NotReady, RETRY_ELSEWHERE_AFTER));
        }
        match work {
            Work::Generate(generate) => self.new_generation(ticket, generate),
            Work::Call(call) => self.new_call(ticket, &call),
        }
    }

    pub(crate) fn new_generation(&self, ticket: Ticket, work: Generate) -> Result<NewRequest, Refusal> {
        let unknown = Refusal::new(ErrorKind::UnknownModel);
        let configuration = self.versions.current().ok_or(unknown)?;
        let model = configuration.models.iter().find(|m| m.name == work.model).ok_or(unknown)?;
        let class = configuration.classes.iter().find(|c| c.name == model.class).ok_or(unknown)?;
        let kind = Kind::Generate {
            prompt_tokens: work.prompt_tokens,
            max_tokens: work.max_tokens,
            first_token_target: Duration::from_millis(class.first_ms),
            token_gap_target: Duration::from_millis(class.gap_ms),
            retry: work.retry,
        };
        Ok(NewRequest {
            ticket,
            id: self.request_id(ticket),
            kind,
            pool: model.pool.clone(),
            class: class.name.clone(),
            team: self.known_team(work.team),
            priority: class.priority,
            wait: Duration::from_millis(class.wait_ms),
            caller_key: work.key,
            fingerprint: work.fingerprint,
            parts: if configuration.policy.part_quarantine { work.parts } else { Vec::new() },
            deadline: work.deadline,
        })
    }

    pub(crate) fn new_call(&self, ticket: Ticket, work: &Call) -> Result<NewRequest, Refusal> {
        let unknown = Refusal::new(ErrorKind::UnknownService);
        let configuration = self.versions.current().ok_or(unknown)?;
        let service = configuration.services.iter().find(|s| s.name == work.service).ok_or(unknown)?;
        let kind = Kind::Call {
            repeatable: service.repeatable.contains(&work.method),
            timeout: Duration::from_millis(service.timeout_ms),
        };
        Ok(NewRequest {
            ticket,
            id: self.request_id(ticket),
            kind,
            pool: service.pool.clone(),
            class: service.name.clone(),
            team: self.known_team(work.team.clone()),
            priority: SERVICE_PRIORITY,
            wait: SERVICE_WAIT,
            caller_key: work.key,
            fingerprint: work.fingerprint,
            parts: Vec::new(),
            deadline: work.deadline,
        })
    }

    pub(crate) fn request_id(&self, ticket: Ticket) -> RequestId {
        let identity = &self.identity;
        RequestId { instance: identity.id(), incarnation: identity.incarnation, sequence: ticket.0 }
    }

    /// Team of a request. Callers that the configuration does not name share one team, so that invented names
    /// give no advantage.
    pub(crate) fn known_team(&self, name: String) -> String {
        let known = self.versions.current().is_some_and(|c| c.teams.iter().any(|t| t.name == name));
        if known { name } else { String::new() }
    }
}
