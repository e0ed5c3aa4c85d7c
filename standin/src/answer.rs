//! Completions of a stand-in model engine.

use std::sync::Arc;
use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::{Stream, stream};
use pimentotide_upstream::{
    Event, KEY_HEADER, REQUEST_HEADER, RESUME_HEADER, STREAM_END, block_hashes,
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::core::{Core, Run};

/// Tokens of an answer unless the request says otherwise.
const DEFAULT_TOKENS: u32 = 16;

/// Time between looks at whether a stall is over.
const STALL_PAUSE: Duration = Duration::from_millis(50);

const VOCABULARY: [&str; 16] = [
    "oak", "pine", "clamp", "joint", "street", "closure", "school", "zone", "glue", "order",
    "draft", "clause", "limit", "ban", "hour", "moisture",
];

#[derive(Deserialize)]
struct Body {
    model: String,
    prompt: Option<Value>,
    messages: Option<Value>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

struct Plan {
    model: String,
    prompt: String,
    tokens: u32,
    from: u32,
    chat: bool,
}

pub(crate) async fn completions(
    core: web::Data<Core>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    answer(&core.into_inner(), &request, &body, false).await
}

pub(crate) async fn chat(core: web::Data<Core>, request: HttpRequest, body: Bytes) -> HttpResponse {
    answer(&core.into_inner(), &request, &body, true).await
}

/// Key of a request in the ledger.
pub(crate) fn ledger_key(request: &HttpRequest) -> String {
    let header = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
    let key = header(KEY_HEADER).or_else(|| header(REQUEST_HEADER));
    key.unwrap_or("unnamed").to_owned()
}

async fn answer(core: &Arc<Core>, request: &HttpRequest, body: &Bytes, chat: bool) -> HttpResponse {
    let Ok(parsed) = serde_json::from_slice::<Body>(body) else {
        return HttpResponse::BadRequest().json(json!({"error": "malformed body"}));
    };
    if parsed.model != core.options.model.as_str() {
        return HttpResponse::NotFound().json(json!({"error": "model not loaded"}));
    }
    let Some(run) = core.begin(&ledger_key(request), body) else {
        return broken();
    };
    let plan = Plan::new(&parsed, request, chat);
    prefill(&run, &plan).await;
    if parsed.stream {
        return HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(event_stream(run, plan));
    }
    whole(run, &plan).await
}

/// An answer whose connection breaks before it is whole.
pub(crate) fn broken() -> HttpResponse {
    let cut = stream::iter([Err::<Bytes, _>(std::io::Error::other(
        "the engine fell over",
    ))]);
    HttpResponse::Ok().no_chunking(1).streaming(cut)
}

async fn prefill(run: &Run, plan: &Plan) {
    let core = run.core();
    let share = core.cached_share(&block_hashes(plan.prompt.as_bytes()));
    let delay = core.options.first_token_delay.mul_f64(1.0 - 0.8 * share);
    tokio::time::sleep(core.scaled(delay)).await;
    while core.is_stalled() {
        tokio::time::sleep(STALL_PAUSE).await;
    }
}

async fn whole(mut run: Run, plan: &Plan) -> HttpResponse {
    let gap = run.core().scaled(run.core().options.token_gap);
    for _ in 0..plan.tokens {
        tokio::time::sleep(gap).await;
        while run.core().is_stalled() {
            tokio::time::sleep(STALL_PAUSE).await;
        }
        if !run.is_current() {
            return broken();
        }
        run.advance();
    }
    let text: String = (0..plan.tokens).map(|i| plan.token(i)).collect();
    let answer = plan.whole_answer(&text);
    run.wrote(answer.to_string().len());
    run.complete();
    HttpResponse::Ok().json(answer)
}

fn event_stream(run: Run, plan: Plan) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let next = plan.from;
    stream::unfold(Some((run, plan, next)), |state| async move {
        let (mut run, plan, next) = state?;
        if next > plan.from {
            let gap = run.core().scaled(run.core().options.token_gap);
            tokio::time::sleep(gap).await;
        }
        while run.core().is_stalled() {
            tokio::time::sleep(STALL_PAUSE).await;
        }
        if !run.is_current() {
            return Some((Err(std::io::Error::other("the engine fell over")), None));
        }
        if next == plan.tokens {
            let event = Event::with_data(STREAM_END);
            run.wrote(event.0.len());
            run.complete();
            // The run is over before its end is told.
            drop(run);
            return Some((Ok(event.0), None));
        }
        run.advance();
        let event = Event::with_data(&plan.piece(next).to_string());
        run.wrote(event.0.len());
        Some((Ok(event.0), Some((run, plan, next + 1))))
    })
}

impl Plan {
    fn new(body: &Body, request: &HttpRequest, chat: bool) -> Self {
        let source = if chat { &body.messages } else { &body.prompt };
        let prompt = match source {
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => String::new(),
        };
        let from = request
            .headers()
            .get(RESUME_HEADER)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok());
        Self {
            model: body.model.clone(),
            prompt,
            tokens: body.max_tokens.unwrap_or(DEFAULT_TOKENS),
            from: from.unwrap_or(0),
            chat,
        }
    }

    /// Token at a position; depends on the prompt and the position alone.
    fn token(&self, position: u32) -> String {
        let hash = blake3::hash(format!("{position}:{}", self.prompt).as_bytes());
        let word = VOCABULARY[usize::from(hash.as_bytes()[0]) % VOCABULARY.len()];
        format!("{word} ")
    }

    fn piece(&self, position: u32) -> Value {
        let text = self.token(position);
        if self.chat {
            return json!({
                "object": "chat.completion.chunk",
                "model": self.model,
                "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
            });
        }
        json!({
            "object": "text_completion",
            "model": self.model,
            "choices": [{"index": 0, "text": text, "finish_reason": null}],
        })
    }

    fn whole_answer(&self, text: &str) -> Value {
        let usage = json!({"completion_tokens": self.tokens});
        if self.chat {
            let message = json!({"role": "assistant", "content": text});
            return json!({
                "object": "chat.completion",
                "model": self.model,
                "choices": [{"index": 0, "message": message, "finish_reason": "length"}],
                "usage": usage,
            });
        }
        json!({
            "object": "text_completion",
            "model": self.model,
            "choices": [{"index": 0, "text": text, "finish_reason": "length"}],
            "usage": usage,
        })
    }
}
