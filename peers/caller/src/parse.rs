//! Parses HTTP requests into calls.

use std::str::FromStr;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::header::{ACCEPT, CONTENT_TYPE, HeaderMap};
use bytes::Bytes;
use pimentotide_model::{
    AdapterName, ErrorKind, Failure, IdempotencyKey, ModelName, Priority, RequestId, ServiceName,
    VersionName, WorkspaceName,
};
use pimentotide_outcome::MAX_KEY_BYTES;
use pimentotide_upstream::is_hop_header;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::Call;
use crate::headers::{
    ADAPTER_HEADER, DEADLINE_HEADER, KEY_HEADER, PRIORITY_HEADER, REQUEST_HEADER, SERVICE_HEADER,
    VERSION_HEADER, WORKSPACE_HEADER,
};

/// Maximum accepted deadline.
const MAX_DEADLINE_MILLIS: u64 = 3_600_000;

/// Headers consumed by the entry and not forwarded.
const OWN_HEADERS: [&str; 10] = [
    WORKSPACE_HEADER,
    SERVICE_HEADER,
    VERSION_HEADER,
    ADAPTER_HEADER,
    PRIORITY_HEADER,
    DEADLINE_HEADER,
    KEY_HEADER,
    REQUEST_HEADER,
    "expect",
    "accept-encoding",
];

/// Members of a completion request that affect its placement.
#[derive(Deserialize)]
struct Completion<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
}

/// Parses a completion request; `chat` selects `messages` over `prompt`.
pub(crate) fn completion(
    request: &HttpRequest,
    id: RequestId,
    body: Bytes,
    chat: bool,
) -> Result<Call, Failure> {
    let parsed: Completion<'_> =
        serde_json::from_slice(&body).map_err(|e| invalid(format!("malformed JSON: {e}")))?;
    if !ModelName::is_valid(&parsed.model) {
        return Err(invalid("model: expected the name of a model"));
    }
    let (name, prompt) = if chat {
        ("messages", parsed.messages)
    } else {
        ("prompt", parsed.prompt)
    };
    let prompt = prompt.ok_or_else(|| invalid(format!("{name}: missing")))?;
    let prompt = Bytes::copy_from_slice(prompt.get().as_bytes());
    let (model, stream) = (ModelName::from(parsed.model), parsed.stream);
    let path = request.uri().path().to_owned();
    let call = base_call(request, id, path, body)?;
    Ok(Call {
        model: Some(model),
        stream,
        prompt,
        ..call
    })
}

/// Parses a request for a plain service.
pub(crate) fn plain(
    request: &HttpRequest,
    id: RequestId,
    body: Bytes,
    service: &str,
    path: &str,
) -> Result<Call, Failure> {
    if !ServiceName::is_valid(service) {
        return Err(invalid("expected the name of a service in the path"));
    }
    let query = request
        .uri()
        .query()
        .map(|q| format!("?{q}"))
        .unwrap_or_default();
    let call = base_call(request, id, format!("/{path}{query}"), body)?;
    Ok(Call {
        service: Some(ServiceName::from(service)),
        ..call
    })
}

/// Parses the parts common to completions and plain services.
fn base_call(
    request: &HttpRequest,
    id: RequestId,
    path: String,
    body: Bytes,
) -> Result<Call, Failure> {
    let headers = request.headers();
    Ok(Call {
        id,
        workspace: name(headers, WORKSPACE_HEADER, WorkspaceName::is_valid)?,
        service: name(headers, SERVICE_HEADER, ServiceName::is_valid)?,
        model: None,
        version: name(headers, VERSION_HEADER, VersionName::is_valid)?,
        adapter: name(headers, ADAPTER_HEADER, AdapterName::is_valid)?,
        priority: number::<u8>(headers, PRIORITY_HEADER, "0 to 255")?.map(Priority),
        deadline: deadline(headers)?,
        key: key(headers)?,
        stream: false,
        prompt: Bytes::new(),
        method: request.method().to_string(),
        path,
        headers: forwarded_headers(headers)?,
        body,
    })
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Failure> {
    let millis = number::<u64>(headers, DEADLINE_HEADER, "milliseconds")?;
    if millis.is_some_and(|m| m == 0 || m > MAX_DEADLINE_MILLIS) {
        let detail = format!("{DEADLINE_HEADER}: expected 1 to {MAX_DEADLINE_MILLIS}");
        return Err(invalid(detail));
    }
    Ok(millis.map(Duration::from_millis))
}

fn key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Failure> {
    let Some(key) = text(headers, KEY_HEADER)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail = format!("{KEY_HEADER}: expected 1 to {MAX_KEY_BYTES} bytes");
        return Err(invalid(detail));
    }
    Ok(Some(IdempotencyKey::from(key)))
}

fn name<T, F>(headers: &HeaderMap, header: &str, is_valid: F) -> Result<Option<T>, Failure>
where
    T: for<'a> From<&'a str>,
    F: Fn(&str) -> bool,
{
    match text(headers, header)? {
        Some(value) if !is_valid(value) => Err(invalid(format!("{header}: expected a name"))),
        value => Ok(value.map(T::from)),
    }
}

fn number<T>(headers: &HeaderMap, header: &str, expected: &str) -> Result<Option<T>, Failure>
where
    T: FromStr,
{
    let Some(value) = text(headers, header)? else {
        return Ok(None);
    };
    let parsed = value
        .parse()
        .map_err(|_| invalid(format!("{header}: expected {expected}")))?;
    Ok(Some(parsed))
}

fn text<'a>(headers: &'a HeaderMap, header: &str) -> Result<Option<&'a str>, Failure> {
    let mut values = headers.get_all(header);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid(format!("{header}: given more than once")));
    }
    let value = value
        .to_str()
        .map_err(|_| invalid(format!("{header}: expected ASCII")))?;
    Ok(Some(value))
}

/// Selects the headers to forward.
///
/// Callers' credentials are not forwarded, since upstreams belong to the deployment.
fn forwarded_headers(headers: &HeaderMap) -> Result<Vec<(String, String)>, Failure> {
    let mut forwarded = Vec::new();
    for (name, value) in headers {
        if is_hop_header(name) || OWN_HEADERS.contains(&name.as_str()) || name == "authorization" {
            continue;
        }
        let Ok(value) = value.to_str() else {
            if name == CONTENT_TYPE || name == ACCEPT {
                return Err(invalid(format!("{name}: expected ASCII")));
            }
            continue;
        };
        forwarded.push((name.to_string(), value.to_owned()));
    }
    Ok(forwarded)
}

fn invalid<D>(detail: D) -> Failure
where
    D: Into<String>,
{
    Failure::new(ErrorKind::InvalidRequest, detail)
}
