//! The dialect of the tests.

use bytes::Bytes;
use catalog::engine::Size;
use gate::dialect::{Account, Ask, Detoured, Dialect, Order, Stall, Told};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::net::SocketAddr;
use std::time::Duration;
use steer::target::Stage;

/// Headers by plain names.
#[derive(Clone, Copy, Debug)]
pub struct Plain;

impl Dialect for Plain {
    fn ask(&self, headers: &HeaderMap) -> Ask {
        Ask {
            id: text(headers, "id"),
            key: text(headers, "key"),
            deadline: number(headers, "deadline").map(Duration::from_millis),
            size: Some(Size {
                prompt: 10,
                answer: 10,
            }),
            expected: None,
            after: number(headers, "after"),
        }
    }

    fn withheld(&self, name: &HeaderName) -> bool {
        ["key", "deadline", "team", "chain", "after"].contains(&name.as_str())
    }

    fn order(&self, headers: &mut HeaderMap, order: &Order<'_>) {
        let mut set = |name: &'static str, value: String| {
            headers.insert(name, HeaderValue::try_from(value).unwrap());
        };
        set("deadline", order.left.as_millis().to_string());
        set("expect", order.target.head().run.id.clone());
        if let Some(team) = order.team {
            set("team", team.to_owned());
        }
        if let Some(after) = order.after {
            set("after", after.to_string());
        }
        let stages = order.target.stages.iter();
        let stages: Vec<_> = stages.map(|s| format!("{}={}", s.addr, s.span)).collect();
        set("chain", stages.join(","));
    }

    fn told(&self, headers: &HeaderMap) -> Told {
        Told {
            id: text(headers, "id"),
            unrun: headers.contains_key("unrun"),
            sealed: headers.contains_key("seal"),
            culprit: text(headers, "culprit").and_then(|a| a.parse().ok()),
            idle: None,
        }
    }

    async fn account(&self, addr: SocketAddr) -> Option<Account> {
        let body = super::caller::get(addr, "/report").await?;
        let stalls = body.lines().filter_map(|line| {
            let (request, culprit) = line.split_once(' ')?;
            Some(Stall {
                request: request.to_owned(),
                culprit: culprit.parse().ok()?,
            })
        });
        Some(Account {
            stalls: stalls.collect(),
        })
    }

    async fn detour(&self, request: &str, stages: &[Stage]) -> Detoured {
        let path = format!("/detour/{request}/{}", stages.len());
        match super::caller::get(stages[0].addr, &path).await {
            Some(body) if body.is_empty() => Detoured::Done,
            Some(body) => body.parse().map_or(Detoured::Failed, Detoured::Missing),
            None => Detoured::Failed,
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
