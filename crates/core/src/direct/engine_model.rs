//! Latency model of an inference engine: estimates the time to the first event of a request.
//!
//! Load pattern: prompts queue at engines that are also decoding. An engine works in passes; each
//! prefills up to a chunk of prompt tokens and then runs some decode steps for the whole batch, so
//! that prefill slows down as the batch fills.

use super::{catalog::EngineSpec, endpoint_state::InFlightLoad};

/// Transit time of the request to the engine and of its first event back to the gateway, in ms.
const NETWORK_MS: f64 = 15.0;

/// Returns the prefill time of a prompt of `prompt` tokens at an engine with an empty batch, in ms.
pub fn prefill_ms(spec: &EngineSpec, prompt: u32) -> u32 {
    let tokens = f64::from(prompt);
    let pairs = tokens * tokens / 2.0 / 1_000_000.0;
    (tokens / spec.prefill_rate.max(1.0) * 1_000.0 + pairs * spec.pairs_ms).ceil() as u32
}

/// Returns the time in ms to the first event of a request with this prefill time in ms, sent to an
/// engine with this load.
pub fn first_event_ms(spec: &EngineSpec, load: InFlightLoad, prefill: u32) -> u32 {
    let chunk = f64::from(spec.chunk_tokens) / spec.prefill_rate.max(1.0) * 1_000.0;
    let steps = decode_ms(spec, load.requests);
    let queued = f64::from(load.prefill_ms);
    let total = queued + f64::from(prefill);
    let passes = (total / chunk.max(1.0)).max(1.0);
    // On average, half of the current pass remains.
    let current_pass = if load.requests == 0 { 0.0 } else { (queued.min(chunk) + steps) / 2.0 };
    (current_pass + total + passes * steps + NETWORK_MS).ceil() as u32
}

/// Returns the time of the decode steps of one pass with a batch of this many requests, in ms.
fn decode_ms(spec: &EngineSpec, requests: u32) -> f64 {
    if requests == 0 {
        return spec.step_ms;
    }
    let context = f64::from(spec.mean_prompt + spec.mean_answer / 2) / 1_000.0;
    let request_ms = spec.request_ms + spec.context_ms * context;
    f64::from(spec.pass_steps) * (spec.step_ms + f64::from(requests) * request_ms)
}
