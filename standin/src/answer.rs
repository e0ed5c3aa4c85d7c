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

/// Number of answer tokens if the request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Interval at which a stalled handler checks whether the stall has ended.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(50);

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

struct Generation {
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

/// Key of a request in the ledger: its idempotency key, else its request id.
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
        return aborted();
    };
    let generation = Generation::new(&parsed, request, chat);
    prefill(&run, &generation).await;
    if parsed.stream {
        return HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(event_stream(run, generation));
    }
    complete_answer(run, &generation).await
}

/// Returns an answer whose connection is aborted before the first byte of the body.
pub(crate) fn aborted() -> HttpResponse {
    let cut = stream::iter([Err::<Bytes, _>(std::io::Error::other("the engine crashed"))]);
    HttpResponse::Ok().no_chunking(1).streaming(cut)
}

async fn prefill(run: &Run, generation: &Generation) {
    let core = run.core();
    let hit_ratio = core.cache_hit_ratio(&block_hashes(generation.prompt.as_bytes()));
    let delay = core
        .options
        .first_token_delay
        .mul_f64(1.0 - 0.8 * hit_ratio);
    tokio::time::sleep(core.scaled(delay)).await;
    while core.is_stalled() {
        tokio::time::sleep(STALL_POLL_INTERVAL).await;
    }
}

async fn complete_answer(mut run: Run, generation: &Generation) -> HttpResponse {
    let gap = run.core().scaled(run.core().options.token_gap);
    for _ in 0..generation.tokens {
        tokio::time::sleep(gap).await;
        while run.core().is_stalled() {
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
        }
        if !run.is_current() {
            return aborted();
        }
        run.advance();
    }
    let text: String = (0..generation.tokens)
        .map(|i| generation.token(i))
        .collect();
    let answer = generation.answer_body(&text);
    run.add_bytes(answer.to_string().len());
    run.complete();
    HttpResponse::Ok().json(answer)
}

fn event_stream(
    run: Run,
    generation: Generation,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let next = generation.from;
    stream::unfold(Some((run, generation, next)), |state| async move {
        let (mut run, generation, next) = state?;
        if next > generation.from {
            let gap = run.core().scaled(run.core().options.token_gap);
            tokio::time::sleep(gap).await;
        }
        while run.core().is_stalled() {
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
        }
        if !run.is_current() {
            return Some((Err(std::io::Error::other("the engine crashed")), None));
        }
        if next == generation.tokens {
            let event = Event::with_data(STREAM_END);
            run.add_bytes(event.0.len());
            run.complete();
            // The run ends before the client receives the end of the stream.
            drop(run);
            return Some((Ok(event.0), None));
        }
        run.advance();
        let event = Event::with_data(&generation.chunk(next).to_string());
        run.add_bytes(event.0.len());
        Some((Ok(event.0), Some((run, generation, next + 1))))
    })
}

impl Generation {
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
            tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            from: from.unwrap_or(0),
            chat,
        }
    }

    /// Returns the token at a position; it depends only on the prompt and the position.
    fn token(&self, position: u32) -> String {
        let hash = blake3::hash(format!("{position}:{}", self.prompt).as_bytes());
        let word = VOCABULARY[usize::from(hash.as_bytes()[0]) % VOCABULARY.len()];
        format!("{word} ")
    }

    fn chunk(&self, position: u32) -> Value {
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

    fn answer_body(&self, text: &str) -> Value {
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
