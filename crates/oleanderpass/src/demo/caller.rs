//! Send requests to an entry instance as a caller does.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use serde_json::Value;
use serde_json::json;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use crate::demo::document::API_KEY;
use crate::demo::document::MODEL;

/// Timeout of one call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 20_000;

/// What a caller sees of one answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Outcome, from the response header or the last event of the stream.
    pub(crate) outcome: String,
    /// Generation of the document in force at the instance; 0 if the answer names none.
    pub(crate) generation: u64,
    /// The generated text, or the body if the answer is not a stream.
    pub(crate) text: String,
    /// Time to first token, or to the end of an answer that is not a stream.
    pub(crate) time_to_first_token: Duration,
}

/// A client of one entry instance.
pub(crate) struct Caller {
    agent: Agent,
    addr: SocketAddr,
}

impl Caller {
    /// Create a client of the instance at `addr`.
    pub(crate) fn new(addr: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_millis(CALL_TIMEOUT_MS)))
            .build();
        Self {
            agent: config.into(),
            addr,
        }
    }

    /// Send a prompt to the model and read the answer as a stream.
    pub(crate) fn generate(
        &self,
        prompt: &str,
        max_tokens: u64,
        priority: &str,
    ) -> eyre::Result<Answer> {
        let body = json!({
            "model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let start = Instant::now();
        let resp = self
            .agent
            .post(format!("http://{}/v1/completions", self.addr))
            .header("authorization", format!("Bearer {API_KEY}"))
            .header("content-type", "application/json")
            .header("oleanderpass-priority", priority)
            .send(body.to_string())
            .wrap_err("send a request")?;
        let mut answer = answer_from_head(&resp);
        if answer.status != 200 {
            answer.text = read_body(resp)?;
            return Ok(answer);
        }
        read_stream(resp, start, &mut answer)?;
        Ok(answer)
    }

    /// Send a request to a route of a plain service.
    pub(crate) fn call_route(&self, route: &str, ticket: Option<&str>) -> eyre::Result<Answer> {
        let start = Instant::now();
        let url = format!("http://{}/svc/{route}/{route}s", self.addr);
        let req = self
            .agent
            .post(url)
            .header("authorization", format!("Bearer {API_KEY}"));
        let req = ticket
            .into_iter()
            .fold(req, |req, ticket| req.header("oleanderpass-ticket", ticket));
        let resp = req.send(r#"{"amount": 1200}"#).wrap_err("call a route")?;
        let mut answer = answer_from_head(&resp);
        answer.text = read_body(resp)?;
        answer.time_to_first_token = start.elapsed();
        Ok(answer)
    }

    /// Request an execution ticket for a route.
    pub(crate) fn request_ticket(&self, route: &str) -> eyre::Result<String> {
        let resp = self
            .agent
            .post(format!("http://{}/v1/tickets", self.addr))
            .header("authorization", format!("Bearer {API_KEY}"))
            .send(json!({"route": route}).to_string())
            .wrap_err("request a ticket")?;
        let text = read_body(resp)?;
        let value: Value = serde_json::from_str(&text)?;
        let ticket = value["ticket"].as_str();
        ticket
            .map(str::to_owned)
            .ok_or_else(|| eyre::eyre!("no ticket in `{text}`"))
    }
}

/// Return the answer without its text and time.
fn answer_from_head(resp: &Response<Body>) -> Answer {
    let header = |name: &str| {
        let value = resp
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    Answer {
        status: resp.status().as_u16(),
        outcome: header("oleanderpass-outcome"),
        generation: header("oleanderpass-generation").parse().unwrap_or(0),
        ..Answer::default()
    }
}

fn read_body(mut resp: Response<Body>) -> eyre::Result<String> {
    let mut text = String::new();
    let mut reader = resp.body_mut().as_reader();
    reader
        .read_to_string(&mut text)
        .wrap_err("read an answer")?;
    Ok(text)
}

/// Read a stream of server-sent events. Add the text, the time of the first token and the outcome
/// to `answer`.
fn read_stream(resp: Response<Body>, start: Instant, answer: &mut Answer) -> eyre::Result<()> {
    for line in BufReader::new(resp.into_body().into_reader()).lines() {
        let line = line.wrap_err("read a stream")?;
        let Some(data) = line
            .strip_prefix("data:")
            .map(str::trim)
            .filter(|data| *data != "[DONE]")
        else {
            continue;
        };
        let event: Value = serde_json::from_str(data).wrap_err("read an event")?;
        if let Some(text) = event["choices"][0]["text"].as_str() {
            if answer.text.is_empty() && !text.is_empty() {
                answer.time_to_first_token = start.elapsed();
            }
            answer.text.push_str(text);
        }
        if let Some(outcome) = event["oleanderpass"]["outcome"].as_str() {
            answer.outcome = outcome.to_owned();
        }
    }
    Ok(())
}
