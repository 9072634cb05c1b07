//! Single requests from the caller to the response, through separate processes.

use serde_json::{Value, json};
use teaselshunt_standin::{ServiceFaults, generated_text};

use crate::support::{Fleet, streamed_text, until};

#[tokio::test(flavor = "multi_thread")]
async fn completions_are_exact_with_and_without_streaming() {
    let fleet = Fleet::start(2).await;
    for daemon in &fleet.start_daemons().await {
        let prompt = "Movement log, Newman, 14 landings.";
        let response = fleet.completion(daemon, prompt, false).send().await.unwrap();
        let id = response.headers()["x-request-id"].to_str().unwrap().to_owned();
        let reply: Value = response.json().await.unwrap();
        assert_eq!(reply["choices"][0]["text"], generated_text(prompt, 400));
        assert_eq!(reply["choices"][0]["finish_reason"], "stop");
        assert_eq!(reply["id"], id);

        let response = fleet.completion(daemon, prompt, true).send().await.unwrap();
        assert_eq!(streamed_text(response).await, Some(generated_text(prompt, 400)));
    }
    assert_eq!(fleet.held_requests(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_completions_and_models_follow_the_openai_api() {
    let fleet = Fleet::start(1).await;
    let daemon = fleet.start_daemon(0).await;
    let url = format!("http://{}/v1", daemon.callers);
    let models: Value = fleet.client.get(format!("{url}/models")).send().await.unwrap().json().await.unwrap();
    assert_eq!(models["data"][0]["id"], "long");

    let messages = json!([
        { "role": "system", "content": "Short." },
        { "role": "user", "content": [{ "type": "text", "text": "Fee for a PC-12 at Karratha?" }] },
    ]);
    let body = json!({ "model": "long", "messages": messages, "max_completion_tokens": 10 });
    let reply: Value = fleet
        .client
        .post(format!("{url}/chat/completions"))
        .json(&body)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    let prompt = "system: Short.\nuser: Fee for a PC-12 at Karratha?\n";
    assert_eq!(reply["choices"][0]["message"]["content"], generated_text(prompt, 10));
    assert_eq!(reply["choices"][0]["finish_reason"], "length");
    assert_eq!(reply["object"], "chat.completion");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_call_is_passed_on_and_its_response_returned() {
    let fleet = Fleet::start(1).await;
    let daemon = fleet.start_daemon(0).await;
    let url = format!("http://{}/services/bookings/a/b?c=d", daemon.callers);
    let reply: Value = fleet.client.put(url).body("machine 12").send().await.unwrap().json().await.unwrap();
    assert_eq!(reply["call"], json!({ "method": "PUT", "path": "/a/b?c=d", "body": "machine 12" }));
    assert_eq!(fleet.executions("machine 12"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_and_status_are_on_the_operators_listener_only() {
    let fleet = Fleet::start(1).await;
    let daemon = fleet.start_daemon(0).await;
    fleet.completion(&daemon, "Tariff?", false).send().await.unwrap();
    let text = async |address, path| {
        fleet.client.get(format!("http://{address}{path}")).send().await.unwrap().text().await.unwrap()
    };
    let metrics = text(daemon.operators, "/metrics").await;
    assert!(metrics.contains("teaselshunt_answers_total{class=\"invoice\",site=\"old\"} 1"), "{metrics}");
    assert!(metrics.contains("teaselshunt_configuration_version 1"));
    let audit = text(daemon.operators, "/audit").await;
    assert!(audit.contains("\"change\":\"configuration\""), "{audit}");
    for path in ["/metrics", "/status", "/audit", "/drain"] {
        let response = fleet.client.get(format!("http://{}{path}", daemon.callers)).send().await.unwrap();
        assert_eq!(response.status(), 404);
    }
}

/// Guards against calls to a service that refused one and stated how long it wants no more: its refusal is
/// passed on, and later callers are refused at once and told when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_gets_no_calls_in_its_cooldown() {
    const DELAY_SECONDS: u32 = 3;
    let fleet = Fleet::start(1).await;
    let daemons = fleet.start_daemons().await;
    let daemon = &daemons[0];
    assert_eq!(fleet.booking(daemon, "first").send().await.unwrap().status(), 200);
    fleet.service.set_faults(ServiceFaults { retry_after: Some(DELAY_SECONDS), ..ServiceFaults::default() });
    let passed_on = fleet.booking(daemon, "second").send().await.unwrap();
    assert_eq!(passed_on.status(), 503);
    assert_eq!(passed_on.headers()["retry-after"], DELAY_SECONDS.to_string().as_str());
    // The service would serve the next call.
    fleet.service.set_faults(ServiceFaults::default());
    let refused = fleet.booking(daemon, "third").send().await.unwrap();
    assert_eq!(refused.headers()["x-teaselshunt-outcome"], "not-run");
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(fleet.executions("third"), 0);
    until("the cooldown is over", || async {
        fleet.booking(daemon, "last").send().await.unwrap().status() == 200
    })
    .await;
}
