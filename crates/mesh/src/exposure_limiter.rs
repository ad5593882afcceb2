/// The most unused tokens that are kept, so that a canary that becomes usable doesn't get all of them at once.
const MAX_TOKENS: f64 = 2.0;

/// Limits the requests of one entry to the version that is being rolled out for a service.
#[derive(Clone, Copy, Debug)]
pub struct ExposureLimiter {
    tokens: f64,
}

impl ExposureLimiter {
    /// Creates a limiter with a fraction of a token, drawn at random from 0 up to, but not including, 1.
    ///
    /// An entry that earns `t` tokens can spend the whole part of `t` plus the fraction, which is `t` in the mean. The
    /// sum over the fleet is therefore near the share of all requests, however many entries there are and however
    /// often they restart.
    #[must_use]
    pub const fn new(fraction: f64) -> Self {
        Self { tokens: fraction }
    }

    /// Counts a request to the service that is sent now, which earns its share of a token.
    pub fn record_request(&mut self, share_per_mille: u16) {
        self.add(f64::from(share_per_mille.min(1_000)) / 1_000.0);
    }

    /// Gives back the token of a request that didn't reach the canary.
    pub fn give_back(&mut self) {
        self.add(1.0);
    }

    /// Returns whether a request may be sent to a canary.
    #[must_use]
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of a request that is sent to a canary.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(MAX_TOKENS);
    }
}
