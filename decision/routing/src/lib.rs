//! Choice of upstream, admission, credits, queues and retries.
