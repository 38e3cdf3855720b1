/// A retry budget, which limits retries to a fixed fraction of the requests.
///
/// Without it, retries multiply the load on an overloaded system.
#[derive(Debug)]
pub struct Budget {
    tokens: f64,
}

/// Number of retries earned per request.
const RATIO: f64 = 0.1;
/// Maximum number of accumulated retries; also the initial balance, so that a process with little
/// traffic can retry.
const BURST: f64 = 10.0;

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: BURST }
    }
}

impl Budget {
    /// Records a request, which earns a fraction of a retry.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + RATIO).min(BURST);
    }

    /// Consumes one retry from the budget; returns `false` if none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
