//! Fake service: it records each execution, also if the response is lost.

use awc::Client;
use pinereel_fakes::service::{Execution, Faults, Handle, Options, Service};
use serde_json::{Value, json};

/// Sends a request with an idempotency key and a request id. Returns the status and the body;
/// `None` if there was no response.
async fn post(service: &Handle, path: &str, body: &Value) -> Option<(u16, Value)> {
    let request = Client::default()
        .post(format!("http://{}{path}", service.address))
        .insert_header(("idempotency-key", "k"))
        .insert_header(("x-request-id", "r"));
    let mut response = request.send_json(body).await.ok()?;
    let value = response.json().await.unwrap_or(Value::Null);
    Some((response.status().as_u16(), value))
}

#[actix_rt::test]
async fn requests_with_lost_responses_are_recorded_and_refused_ones_are_not() {
    let service = Service::start(Options::default()).await.unwrap();
    service.set_faults(Faults {
        drop_before_run: Some(1),
        drop_after_run: Some(1),
        ..Faults::default()
    });
    let body = json!({ "lacquer": 1 });
    assert_eq!(post(&service, "/orders", &body).await, None);
    assert_eq!(service.executions().len(), 0);
    assert_eq!(post(&service, "/orders", &body).await, None);
    assert_eq!(service.executions().len(), 1);
    let response = post(&service, "/orders", &body).await;
    assert_eq!(response, Some((200, json!({ "id": 2 }))));
    service.set_faults(Faults {
        leaving: Some(true),
        ..Faults::default()
    });
    assert_eq!(post(&service, "/orders", &body).await.unwrap().0, 503);
    let url = format!("http://{}/record", service.address);
    let mut response = Client::default().get(url).send().await.unwrap();
    assert_eq!(response.headers().get("x-incarnation").unwrap(), "1");
    let executions: Vec<Execution> = response.json().await.unwrap();
    assert_eq!(executions.len(), 2);
    assert_eq!(executions, service.executions());
    assert_eq!(executions[0].key.as_deref(), Some("k"));
    assert_eq!(executions[0].request_id.as_deref(), Some("r"));
    assert_eq!(executions[0].body, executions[1].body);
}

#[actix_rt::test]
async fn equal_texts_have_equal_scores_and_echo_returns_the_body() {
    let service = Service::start(Options::default()).await.unwrap();
    let text = json!({ "text": "rewind" });
    let first = post(&service, "/score", &text).await;
    assert_eq!(first, post(&service, "/score", &text).await);
    assert_eq!(post(&service, "/echo", &text).await, Some((200, text)));
    service.set_faults(Faults {
        fail_status: Some(500),
        ..Faults::default()
    });
    assert_eq!(post(&service, "/quotes", &json!({})).await.unwrap().0, 500);
    assert_eq!(service.executions().len(), 4);
}
