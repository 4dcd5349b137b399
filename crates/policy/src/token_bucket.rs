//! A token bucket whose rate and capacity may differ at each use.

use crate::{Micros, SECOND};

/// Tokens that accrue at a rate up to a capacity. It may be overdrawn: the debt delays what comes next.
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

    /// A bucket that has to accrue `debt` before it holds anything.
    pub(crate) fn with_debt(debt: f64, now: Micros) -> TokenBucket {
        TokenBucket::with_tokens(-debt, now)
    }

    /// Adds what accrued since the last refill at `rate` tokens a second, up to `capacity`, and returns what
    /// it holds then.
    pub(crate) fn refill(&mut self, now: Micros, rate: f64, capacity: f64) -> f64 {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.tokens = (self.tokens + rate * seconds).min(capacity);
        self.refilled_at = now;
        self.tokens
    }

    /// Takes tokens, also beyond what it holds.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Whether it held anything at the last refill, less what was taken since.
    pub(crate) fn has_tokens(&self) -> bool {
        self.tokens > 0.0
    }

    /// Whether it has not been in use since it was made by default.
    pub(crate) fn is_unused(&self) -> bool {
        self.refilled_at == 0
    }
}
