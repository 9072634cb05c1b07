//! `ask`: a caller that sends the kinds of requests of the first users and checks every response.

use std::time::{Duration, Instant};

use gumdrop::Options;
use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};
use teaselshunt_standin::generated_text;
use uuid::Uuid;

use super::CommandError;

/// Longest wait until an instance is ready, and for the retries of a request.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest number of tokens of a response.
const MAX_TOKENS: u32 = 200;
const JOB_SHEET: &str = "Job sheet 1183, crusher BR-07, quarry Serra Branca: jaw plates worn to 40%, belt 3 \
    slipped twice, oil at 82 C after four hours, stopped at 15:10 to clear a blocked chute. Summarise for the \
    municipal road crew.";

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "callers' addresses of entry instances, IP:PORT")]
    instances: Vec<String>,
    #[options(required, help = "model for long work that can wait")]
    long: String,
    #[options(required, help = "model for quick lookups")]
    quick: String,
    #[options(required, help = "service for non-idempotent calls")]
    service: String,
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), CommandError> {
    if arguments.instances.is_empty() {
        return Err(failure("no instance address is given"));
    }
    let caller = Caller { client: Client::builder().no_proxy().build()? };
    for instance in &arguments.instances {
        caller.wait_ready(instance).await?;
    }
    for instance in &arguments.instances {
        caller.summarise(instance, &arguments.long).await?;
        caller.look_up(instance, &arguments.quick).await?;
        caller.book(instance, &arguments.service).await?;
    }
    caller.retry_elsewhere(&arguments.instances, &arguments.service).await
}

fn failure(text: impl Into<String>) -> CommandError {
    CommandError::Failed(text.into())
}

struct Caller {
    client: Client,
}

impl Caller {
    async fn wait_ready(&self, instance: &str) -> Result<(), CommandError> {
        let start = Instant::now();
        loop {
            let models = self.client.get(format!("http://{instance}/v1/models")).send().await;
            if let Ok(response) = models
                && let Ok(list) = response.json::<Value>().await
                && list["data"].as_array().is_some_and(|d| !d.is_empty())
            {
                return Ok(());
            }
            if start.elapsed() > READY_TIMEOUT {
                return Err(failure(format!("{instance} is not ready after {READY_TIMEOUT:?}")));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Requests the summary of a job sheet, in one response.
    async fn summarise(&self, instance: &str, model: &str) -> Result<(), CommandError> {
        let body = json!({ "model": model, "prompt": JOB_SHEET, "max_tokens": MAX_TOKENS });
        let url = format!("http://{instance}/v1/completions");
        let response = self.send_with_retries(|| self.client.post(&url).json(&body).send()).await?;
        let reply: Value = response.json().await?;
        let text = reply["choices"][0]["text"].as_str().unwrap_or_default();
        check("summary", instance, text, &generated_text(JOB_SHEET, MAX_TOKENS))
    }

    /// Looks up a machine, with a streamed response.
    async fn look_up(&self, instance: &str, model: &str) -> Result<(), CommandError> {
        let question = format!("Is crusher BR-12 free on 9 December? Desk {instance}.");
        let messages = json!([{ "role": "user", "content": question }]);
        let body = json!({ "model": model, "messages": messages, "max_tokens": MAX_TOKENS, "stream": true });
        let url = format!("http://{instance}/v1/chat/completions");
        let response = self.send_with_retries(|| self.client.post(&url).json(&body).send()).await?;
        let events = response.text().await?;
        let mut text = String::new();
        let mut done = false;
        for data in events.lines().filter_map(|l| l.strip_prefix("data: ")) {
            if data == "[DONE]" {
                done = true;
                continue;
            }
            let event: Value = serde_json::from_str(data)?;
            text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        }
        if !done {
            return Err(failure(format!("{instance}: the stream of the lookup ended without [DONE]")));
        }
        check("lookup", instance, &text, &generated_text(&format!("user: {question}\n"), MAX_TOKENS))
    }

    /// Books a machine. The booking must not run twice.
    async fn book(&self, instance: &str, service: &str) -> Result<(), CommandError> {
        let url = format!("http://{instance}/services/{service}/bookings");
        let order = json!({ "machine": "BR-12", "days": 2, "desk": instance }).to_string();
        let response = self.send_with_retries(|| self.client.post(&url).body(order.clone()).send()).await?;
        let reply: Value = response.json().await?;
        println!("booking   {instance}: number {}", reply["number"]);
        check("booking", instance, reply["call"]["body"].as_str().unwrap_or_default(), &order)
    }

    /// Sends a booking with the same idempotency key through each instance. All must respond as the first does.
    async fn retry_elsewhere(&self, instances: &[String], service: &str) -> Result<(), CommandError> {
        let order = json!({ "machine": "BR-03", "days": 1 }).to_string();
        let mut key = Uuid::now_v7().to_string();
        let mut numbers = Vec::new();
        for instance in instances {
            let url = format!("http://{instance}/services/{service}/bookings");
            // A home instance that has just started cannot know whether a key that was created before its
            // start has been used. Until the first booking has run, each attempt therefore creates a new key.
            let mut reply = Value::Null;
            let start = Instant::now();
            while reply["number"].is_null() && start.elapsed() < READY_TIMEOUT {
                if numbers.is_empty() {
                    key = Uuid::now_v7().to_string();
                }
                let call = self.client.post(&url).header("Idempotency-Key", &key).body(order.clone());
                reply = call.send().await?.json().await?;
                tokio::time::sleep(Duration::from_millis(if reply["number"].is_null() { 500 } else { 0 }))
                    .await;
            }
            numbers.push(reply["number"].clone());
        }
        println!("booking   with one key through {} instances: numbers {numbers:?}", instances.len());
        if numbers.windows(2).any(|pair| pair[0] != pair[1]) {
            return Err(failure("a booking with an idempotency key ran twice"));
        }
        Ok(())
    }

    /// Retries a request after the `Retry-After` delay, for as long as the start of a fleet may take.
    async fn send_with_retries<F, R>(&self, call: F) -> Result<Response, CommandError>
    where
        F: Fn() -> R,
        R: Future<Output = reqwest::Result<Response>>,
    {
        let start = Instant::now();
        loop {
            let response = call().await?;
            if response.status() == StatusCode::SERVICE_UNAVAILABLE && start.elapsed() < READY_TIMEOUT {
                let retry_after =
                    response.headers().get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
                tokio::time::sleep(Duration::from_secs(retry_after.unwrap_or(1))).await;
                continue;
            }
            return require_success(response).await;
        }
    }
}

async fn require_success(response: Response) -> Result<Response, CommandError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = response.text().await?;
    Err(failure(format!("status {status}: {text}")))
}

fn check(what: &str, instance: &str, got: &str, expected: &str) -> Result<(), CommandError> {
    if got != expected {
        return Err(failure(format!(
            "{instance}: the {what} differs from the expected one:\n got {got:?}\nwant {expected:?}"
        )));
    }
    println!("{what:9} {instance}: exact, {} bytes: {:.60}...", got.len(), got);
    Ok(())
}
