//! Random rows, manifests, status reports, headers and messages of peers, and all that they feed: no
//! number, key or length may end the process or keep it busy.

use adapter::Platform;
use adapter::header::Headers;
use adapter::report::decode_report;
use adapter::store::Table;
use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use catalog::Endpoint;
use catalog::engine::Size;
use catalog::source::{Page, Record};
use gate::dialect::Dialect;
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use journal::Journal;
use node::hosted::control::copy;
use node::hosted::control::copy::Scope;
use node::hosted::control::loads::Loads;
use node::hosted::control::tables::Tables;
use place::holder::Holder;
use place::plan;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steer::budget::{Allowance, Purpose};
use steer::chain::Need;
use steer::evacuation::Evacuee;
use steer::health::Outcome;
use steer::{Fleet, Selector};

/// Number of drawn sequences, unless the environment variable `ODD_INPUTS` names another.
const SEQUENCES: u64 = 3_000;
/// Number of random bytes for each.
const BYTES: u64 = 8192;
/// Maximum time for one sequence. Most take some milliseconds.
const MAX_TIME: Duration = Duration::from_secs(5);
/// One of so many figures of a manifest is odd. A manifest with an odd figure is mostly rejected.
const FIGURE_ODDS: u32 = 60;
/// One of so many fields of rows and reports is odd.
const FIELD_ODDS: u32 = 12;
/// Maximum number of rows.
const MAX_ROWS: usize = 12;

/// Values that are odd in the place of a number.
const ODD_VALUES: [&str; 30] = [
    "-1",
    "0",
    "0.5",
    "1",
    "255",
    "256",
    "4096",
    "4097",
    "65535",
    "65536",
    "99999",
    "1048576",
    "2147483648",
    "4294967295",
    "4294967296",
    "86400000",
    "86400001",
    "9223372036854775808",
    "18446744073709551615",
    "1e6",
    "1e15",
    "1e18",
    "1e19",
    "1e39",
    "1e300",
    "1e308",
    "1e400",
    "-1e300",
    "null",
    "\"x\"",
];

/// Draws a value, the usual one in all but one of `odds` cases.
fn value<'a>(u: &mut Unstructured<'_>, odds: u32, usual: &'a str) -> Result<&'a str> {
    match u.ratio(1, odds)? {
        true => Ok(u.choose(&ODD_VALUES)?),
        false => Ok(usual),
    }
}

/// Draws an object with these fields, each with its usual value in all but one of `odds` cases.
fn object(u: &mut Unstructured<'_>, odds: u32, fields: &[(&str, &str)]) -> Result<String> {
    let mut parts = Vec::new();
    for (name, usual) in fields {
        if !u.ratio(1, 4 * odds)? {
            parts.push(format!("\"{name}\":{}", value(u, odds, usual)?));
        }
    }
    Ok(format!("{{{}}}", parts.join(",")))
}

fn manifest(u: &mut Unstructured<'_>) -> Result<String> {
    let model = object(u, FIGURE_ODDS, &[("load_s", "1")])?;
    let kind = object(
        u,
        FIGURE_ODDS,
        &[
            ("name", "\"card\""),
            ("megabytes", "3000"),
            ("pace", "1"),
            ("read_x", "1"),
        ],
    )?;
    let delay = object(
        u,
        FIGURE_ODDS,
        &[("from", "\"a\""), ("to", "\"b\""), ("delay_ms", "0.5")],
    )?;
    let usual = object(u, FIGURE_ODDS, &[("prompt", "10"), ("answer", "10")])?;
    let (models, kinds) = (format!("[{model}]"), format!("[{kind}]"));
    let delays = format!("[{delay}]");
    let engine = object(
        u,
        FIGURE_ODDS,
        &[
            ("slots", "10"),
            ("kv_token_bytes", "4000000"),
            ("models", &models),
            ("step_ms", "1"),
            ("per_seq_ms", "0.01"),
            ("context_per_k", "0.01"),
            ("read_per_s", "100000"),
            ("chunk", "512"),
            ("pairs_per_m", "0.2"),
            ("stride", "1"),
            ("loads_at_once", "4"),
            ("delays", &delays),
            ("usual", &usual),
            ("layers", "4"),
            ("layer_mb", "1000"),
            ("act_bytes", "10"),
            ("pipe_mbps", "10000"),
            ("kinds", &kinds),
        ],
    )?;
    let route = object(
        u,
        FIGURE_ODDS,
        &[
            ("name", "\"chat\""),
            ("host", "\"h\""),
            ("path_prefix", "\"/\""),
            ("kind", "\"streaming\""),
            ("timeout_ms", "5000"),
            ("target_latency_ms", "500"),
            ("priority", "1"),
            ("service", "\"model\""),
            ("max_attempts", "2"),
            ("resumable", "true"),
            ("gap_aim_ms", "250"),
        ],
    )?;
    let limits = object(
        u,
        FIGURE_ODDS,
        &[
            ("max_header_bytes", "16384"),
            ("max_body_bytes", "65536"),
            ("header_timeout_ms", "3000"),
            ("idle_timeout_ms", "15000"),
        ],
    )?;
    Ok(format!(
        r#"{{"version":{},"routes":[{route}],"limits":{limits},"services":[
        {{"name":"model","max_conns":{},"engine":{engine}}},{{"name":"app","max_conns":100}}]}}"#,
        value(u, FIGURE_ODDS, "2")?,
        value(u, FIGURE_ODDS, "100")?,
    ))
}

fn layers(u: &mut Unstructured<'_>) -> Result<String> {
    let usual = u.choose(&[("0", "4"), ("0", "2"), ("2", "4"), ("0", "0")])?;
    object(u, FIELD_ODDS, &[("from", usual.0), ("to", usual.1)])
}

fn row(u: &mut Unstructured<'_>, number: usize) -> Result<(String, String)> {
    let key = match u.ratio(1, 10)? {
        true => u
            .choose(&["", " ", "a b", "\n", "\u{438}", "%", "\""])?
            .to_string(),
        false => format!("e{number}"),
    };
    let address = match u.ratio(1, 10)? {
        true => u.choose(&[
            "\"\"",
            "\"0.0.0.0:1\"",
            "\"127.0.0.1:99999\"",
            "\"[::1]:0\"",
        ])?,
        false => "\"127.0.0.1:1\"",
    };
    let zone = u.choose(&["\"a\"", "\"b\"", "\"c\""])?;
    let (service, kind) = match u.ratio(1, 5)? {
        true => ("\"app\"", "null"),
        false => ("\"model\"", "\"card\""),
    };
    let layers = layers(u)?;
    let row = object(
        u,
        FIELD_ODDS,
        &[
            ("service", service),
            ("address", address),
            ("zone", zone),
            ("slots", "4"),
            ("state", "\"ready\""),
            ("born", "7"),
            ("kind", kind),
            ("layers", &layers),
        ],
    )?;
    Ok((key, row))
}

fn report(u: &mut Unstructured<'_>) -> Result<String> {
    let layers = layers(u)?;
    object(
        u,
        FIELD_ODDS,
        &[
            ("born", "7"),
            ("layers", &layers),
            ("busy", "false"),
            ("sequence", "1"),
            ("queued", "1"),
            ("kv_used", "100"),
            ("kv_total", "1000"),
            ("pace", "1"),
            ("stalled", r#"[{"id":"r1","address":"127.0.0.1:1"}]"#),
        ],
    )
}

/// Draws headers of a request or a response.
fn headers(u: &mut Unstructured<'_>) -> Result<HeaderMap> {
    let values = [
        "0",
        "-1",
        "1",
        "20000",
        "0.5",
        "1e9",
        "4294967295",
        "18446744073709551615",
        "99999999999999999999999999999999",
        ".",
        "",
        "4294967295,4294967295",
        "10,10",
        ",",
        "timeout=18446744073709551615",
        "timeout=0",
        "a:1,b:99999999999999999999,c",
    ];
    let names = [
        "x-deadline-ms",
        "x-token-usage",
        "x-prompt-prefix",
        "x-length-hint",
        "last-event-id",
        "retry-after",
        "server-limit",
        "keep-alive",
        "at-server",
    ];
    let mut headers = HeaderMap::new();
    for name in names {
        if u.ratio(1, 2)? {
            let value = HeaderValue::from_static(u.choose(&values)?);
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    Ok(headers)
}

/// Changes some bytes.
fn mutate(u: &mut Unstructured<'_>, bytes: &mut [u8]) -> Result<()> {
    for _ in 0..u.int_in_range(0..=3)? {
        if !bytes.is_empty() {
            let at = u.choose_index(bytes.len())?;
            bytes[at] = u.arbitrary()?;
        }
    }
    Ok(())
}

fn page(records: Vec<(String, String)>) -> Page {
    let records = records.into_iter().zip(0..);
    let records: Vec<Record> = records
        .map(|((key, value), offset)| Record {
            key,
            value: Some(value.into_bytes().into()),
            offset,
        })
        .collect();
    Page {
        next_offset: records.len() as u64,
        records,
        complete: true,
    }
}

/// The tables of a node after it has read a random manifest and random rows.
fn tables(u: &mut Unstructured<'_>) -> Result<Tables> {
    let platform = Platform::new(([127, 0, 0, 1], 1).into());
    let mut tables = Tables::new(Journal::disabled());
    for _ in 0..4 {
        let config = (adapter::CATALOG_KEY.to_owned(), manifest(u)?);
        tables.apply(&platform, Table::Operator, page(vec![config]), "store");
        if tables.catalog().is_some() {
            break;
        }
    }
    let mut rows = Vec::new();
    for number in 0..u.int_in_range(1..=MAX_ROWS)? {
        rows.push(row(u, number)?);
    }
    // The page comes as a copy from a peer.
    let response = copy::Response {
        page: page(rows),
        up_to_date: true,
        more: false,
    };
    let mut bytes = copy::encode(&response).unwrap();
    mutate(u, &mut bytes)?;
    if let Ok(response) = copy::decode(&bytes) {
        tables.apply(&platform, Table::Endpoints, response.page, "peer");
    }
    Ok(tables)
}

/// Loads of a peer by random reports of the endpoints.
fn loads(u: &mut Unstructured<'_>, now: tokio::time::Instant, tables: &Tables) -> Result<Loads> {
    let (mut polled, mut copied) = (Loads::default(), Loads::default());
    for endpoint in tables.endpoints() {
        let response = Response::new(report(u)?.into());
        if let Ok(report) = decode_report(&response) {
            polled.record(now, &endpoint.run.to_string(), &report);
        }
    }
    let mut bytes = polled.encode(now, Scope::Own, u.arbitrary()?).unwrap();
    mutate(u, &mut bytes)?;
    let peer = ([127, 0, 0, 1], 2).into();
    let _ = copied.merge(now, peer, Scope::Own, &bytes);
    Ok(match u.arbitrary()? {
        true => polled,
        false => copied,
    })
}

/// Draws the size of a request from its headers.
fn need(u: &mut Unstructured<'_>) -> Result<Need> {
    let info = Headers::default().request_info(&headers(u)?);
    let size = info.size.unwrap_or(Size {
        prompt: 10,
        answer: 10,
    });
    Ok(Need {
        size,
        urgent: u.arbitrary()?,
    })
}

/// Plans orders and places requests in a fleet by random input. Returns the number of requests that were
/// placed.
fn use_fleet(u: &mut Unstructured<'_>) -> Result<usize> {
    let started = Instant::now();
    let now = tokio::time::Instant::now();
    let tables = tables(u)?;
    let loads = loads(u, now, &tables)?;
    let Some(catalog) = tables.catalog().cloned() else {
        return Ok(0);
    };
    let endpoints: Vec<Endpoint> = tables.endpoints().map(|e| loads.overlay(now, e)).collect();
    for service in &catalog.services {
        let Some(engine) = &service.engine else {
            continue;
        };
        let own = endpoints.iter().filter(|e| e.service == service.name);
        let holders: Vec<Holder> = own.filter_map(Holder::from_endpoint).collect();
        for order in plan::next_orders(engine, &holders) {
            plan::preserves_coverage(engine, &holders, &order);
        }
    }
    let runs: Vec<String> = endpoints.iter().map(|e| e.run.to_string()).collect();
    let mut ended = BTreeSet::new();
    for run in &runs {
        if u.ratio(1, 4)? {
            ended.insert(run.clone());
        }
    }
    let fleet = Fleet {
        catalog: catalog.clone(),
        endpoints: Arc::new(endpoints.clone()),
        loads: Arc::new(loads.view(now, now)),
        nodes: 3,
        budget_nodes: 3,
        ..Fleet::default()
    };
    let allowance = Allowance {
        ratio: 0.2,
        slack: 100.0,
        window: Duration::from_secs(10),
    };
    let mut selector = Selector::new(1, allowance);
    let mut time = Duration::from_secs(1);
    selector.update_fleet(time, fleet.clone());
    let mut targets = Vec::new();
    for _ in 0..12 {
        let (service, need) = (u.int_in_range(0..=1)?, need(u)?);
        let name = catalog.service(service).map_or("", |s| s.name.as_str());
        selector.record_request(time, name);
        selector.record_urgent(time, name, &need);
        if let Ok(target) = selector.select(time, service, &need, &[]) {
            if u.arbitrary()? {
                selector.record_first_event(time, target.reservation);
            }
            targets.push((service, need, target));
        }
        let info = Headers::default().response_info(&headers(u)?);
        if let Some(endpoint) = endpoints.first() {
            if let Some(rest) = info.retry_after {
                selector.record_rest(time, &endpoint.run, rest);
            }
            if let Some(interval) = info.request_interval {
                selector.record_limit(time, &endpoint.run, interval);
            }
        }
        selector.scarcity(time, service);
        time += Duration::from_millis(u.int_in_range(0..=400)?);
    }
    let ended = Fleet {
        ended: Arc::new(ended),
        ..fleet
    };
    selector.update_fleet(time, ended);
    let mut evacuees = Vec::new();
    for (service, need, target) in &targets {
        evacuees.push(Evacuee {
            target: target.clone(),
            service: *service,
            need: *need,
            context: u.arbitrary()?,
            idle: Duration::from_millis(u.int_in_range(0..=2000)?),
            pause_target: Some(Duration::from_millis(250)),
            retry: Some(Purpose::Resumption),
            place: 0.5,
            may_defer: u.arbitrary()?,
        });
    }
    selector.evacuate(time, &evacuees);
    selector.prefill_in_progress(time);
    for (_, _, target) in &targets {
        selector.end(time, target.reservation, Outcome::Success, None);
    }
    assert!(started.elapsed() < MAX_TIME, "{:?}", started.elapsed());
    Ok(targets.len())
}

// Guards against input of other writers, endpoints, callers and peers that ends a node, or keeps it busy
// for as long as a number says.
#[test]
fn odd_input_neither_ends_nor_delays_a_node() {
    let sequences = std::env::var("ODD_INPUTS").ok();
    let sequences = sequences.map_or(SEQUENCES, |n| n.parse().unwrap());
    let mut placed = 0;
    for sequence in 0..sequences {
        let property = |u: &mut Unstructured<'_>| {
            placed += use_fleet(u)?;
            Ok(())
        };
        arbtest(property).seed((sequence << 32) | BYTES);
    }
    assert!(placed > sequences as usize, "{placed} requests");
}
