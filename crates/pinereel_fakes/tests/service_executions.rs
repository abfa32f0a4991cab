//! The service stand-in: it records what ran, whatever became of the answer.

use awc::Client;
use pinereel_fakes::service::{Execution, Faults, Handle, Options, Service};
use serde_json::{Value, json};

async fn post(service: &Handle, path: &str, body: &Value) -> Option<(u16, Value)> {
    let request = Client::default()
        .post(format!("http://{}{path}", service.address))
        .insert_header(("idempotency-key", "k"))
        .insert_header(("x-request-id", "r"));
    let mut answer = request.send_json(body).await.ok()?;
    let value = answer.json().await.unwrap_or(Value::Null);
    Some((answer.status().as_u16(), value))
}

#[actix_rt::test]
async fn dropped_answers_are_executions_and_refusals_are_none() {
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
    let answer = post(&service, "/orders", &body).await;
    assert_eq!(answer, Some((200, json!({ "id": 2 }))));
    service.set_faults(Faults {
        leaving: Some(true),
        ..Faults::default()
    });
    assert_eq!(post(&service, "/orders", &body).await.unwrap().0, 503);
    let url = format!("http://{}/record", service.address);
    let mut answer = Client::default().get(url).send().await.unwrap();
    assert_eq!(answer.headers().get("x-incarnation").unwrap(), "1");
    let ran: Vec<Execution> = answer.json().await.unwrap();
    assert_eq!(ran.len(), 2);
    assert_eq!(ran, service.executions());
    assert_eq!(ran[0].key.as_deref(), Some("k"));
    assert_eq!(ran[0].request_id.as_deref(), Some("r"));
    assert_eq!(ran[0].body, ran[1].body);
}

#[actix_rt::test]
async fn scores_repeat_and_echo_streams() {
    let service = Service::start(Options::default()).await.unwrap();
    let text = json!({ "text": "rewind" });
    let one = post(&service, "/score", &text).await;
    assert_eq!(one, post(&service, "/score", &text).await);
    assert_eq!(post(&service, "/echo", &text).await, Some((200, text)));
    service.set_faults(Faults {
        fail_status: Some(500),
        ..Faults::default()
    });
    assert_eq!(post(&service, "/quotes", &json!({})).await.unwrap().0, 500);
    assert_eq!(service.executions().len(), 4);
}
