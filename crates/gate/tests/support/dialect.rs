//! The dialect that the tests use.

use bytes::Bytes;
use catalog::engine::Size;
use gate::dialect::{
    Dialect, ForwardInfo, RelayInfo, RequestInfo, RerouteOutcome, ResponseInfo, Stall, StatusReport,
};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::net::SocketAddr;
use std::time::Duration;
use steer::target::Stage;

/// A dialect with plain header names.
#[derive(Clone, Copy, Debug)]
pub struct Plain;

impl Dialect for Plain {
    fn request_info(&self, headers: &HeaderMap) -> RequestInfo {
        RequestInfo {
            id: text(headers, "id"),
            key: text(headers, "key"),
            timeout: number(headers, "deadline").map(Duration::from_millis),
            size: Some(Size {
                prompt: 10,
                answer: 10,
            }),
            expected_output: None,
            last_event_id: number(headers, "after"),
            relayed: headers.contains_key("relayed"),
            shared_parts: text(headers, "parts")
                .and_then(|parts| Some(parts.rsplit_once(',')?.0.to_owned()))
                .map(|shared| shared.split(',').map(str::to_owned).collect())
                .unwrap_or_default(),
        }
    }

    fn is_stripped(&self, name: &HeaderName) -> bool {
        ["key", "deadline", "team", "chain", "after", "relayed"].contains(&name.as_str())
    }

    fn add_headers(&self, headers: &mut HeaderMap, info: &ForwardInfo<'_>) {
        let mut set = |name: &'static str, value: String| {
            headers.insert(name, HeaderValue::try_from(value).unwrap());
        };
        set("deadline", info.time_left.as_millis().to_string());
        set("expect", info.target.head().run.id.clone());
        if let Some(team) = info.team {
            set("team", team.to_owned());
        }
        if let Some(priority) = info.priority {
            set("priority", priority.to_string());
        }
        if let Some(after) = info.last_event_id {
            set("after", after.to_string());
        }
        let stages = info.target.stages.iter();
        let stages: Vec<_> = stages.map(|s| format!("{}={}", s.addr, s.span)).collect();
        set("chain", stages.join(","));
    }

    fn add_relay_headers(&self, headers: &mut HeaderMap, info: &RelayInfo<'_>) {
        let mut set = |name: &'static str, value: String| {
            headers.insert(name, HeaderValue::try_from(value).unwrap());
        };
        set("relayed", "1".to_owned());
        set("deadline", info.time_left.as_millis().to_string());
        if let Some(key) = info.key {
            set("key", key.to_owned());
        }
        if let Some(after) = info.last_event_id {
            set("after", after.to_string());
        }
    }

    fn add_statement(&self, headers: &mut HeaderMap, id: Option<&str>) {
        headers.insert("unrun", HeaderValue::from_static("1"));
        if let Some(id) = id {
            headers.insert("id", HeaderValue::try_from(id).unwrap());
        }
    }

    fn response_info(&self, headers: &HeaderMap) -> ResponseInfo {
        ResponseInfo {
            request_id: text(headers, "id"),
            not_run: headers.contains_key("unrun"),
            sealed: headers.contains_key("seal"),
            leaving: headers.contains_key("leaving"),
            faulty_stage: text(headers, "culprit").and_then(|a| a.parse().ok()),
            idle_timeout: None,
            retry_after: number(headers, "rest").map(Duration::from_millis),
            request_interval: number(headers, "interval").map(Duration::from_millis),
        }
    }

    async fn status_report(&self, addr: SocketAddr) -> Option<StatusReport> {
        let body = super::caller::get(addr, "/report").await?;
        let stalls = body.lines().filter_map(|line| {
            let (request, blocked_on) = line.split_once(' ')?;
            Some(Stall {
                request: request.to_owned(),
                blocked_on: blocked_on.parse().ok()?,
            })
        });
        Some(StatusReport {
            stalls: stalls.collect(),
            leaving: body.lines().any(|l| l == "leaving"),
        })
    }

    async fn reroute(&self, request: &str, stages: &[Stage]) -> RerouteOutcome {
        let path = format!("/detour/{request}/{}", stages.len());
        match super::caller::get(stages[0].addr, &path).await {
            Some(body) if body.is_empty() => RerouteOutcome::Done,
            Some(body) => body
                .parse()
                .map_or(RerouteOutcome::Failed, RerouteOutcome::Missing),
            None => RerouteOutcome::Failed,
        }
    }

    fn addresses(&self, addresses: &[SocketAddr], _ttl: Duration) -> Bytes {
        format!("{addresses:?}").into()
    }

    fn addresses_path(&self) -> &'static str {
        "/addresses"
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
