//! A token bucket whose rate and capacity are given at each refill.

use crate::{Micros, SECOND};

/// Tokens that accrue at a rate up to a capacity. The bucket may be overdrawn: the debt has to accrue before
/// it holds tokens again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A bucket that holds `tokens` at `now`.
    pub(crate) fn with_tokens(tokens: f64, now: Micros) -> TokenBucket {
        TokenBucket { tokens, refilled_at: now }
    }

    /// A bucket that is overdrawn by `debt` at `now`.
    pub(crate) fn with_debt(debt: f64, now: Micros) -> TokenBucket {
        TokenBucket::with_tokens(-debt, now)
    }

    /// Adds the tokens that accrued since the last refill at `rate` tokens per second, up to `capacity`, and
    /// returns the tokens that the bucket holds.
    pub(crate) fn refill(&mut self, now: Micros, rate: f64, capacity: f64) -> f64 {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.tokens = (self.tokens + rate * seconds).min(capacity);
        self.refilled_at = now;
        self.tokens
    }

    /// Takes tokens; the bucket may be overdrawn.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Whether it holds tokens, not counting those that accrued since the last refill.
    pub(crate) fn has_tokens(&self) -> bool {
        self.tokens > 0.0
    }

    /// Whether it is still the default bucket: never filled, overdrawn or refilled.
    pub(crate) fn is_unused(&self) -> bool {
        self.refilled_at == 0
    }
}
