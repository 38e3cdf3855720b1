/// A retry budget: retries may be at most a fixed share of the requests.
///
/// Without it, retries multiply the load of a system that is already overloaded.
#[derive(Debug)]
pub struct Budget {
    tokens: f64,
}

/// Retries per request.
const RATIO: f64 = 0.1;
/// Retries that may come at once, so that a quiet process can still retry.
const BURST: f64 = 10.0;

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: BURST }
    }
}

impl Budget {
    /// Counts a request, which earns a share of a retry.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + RATIO).min(BURST);
    }

    /// Takes a retry from the budget, if one is left.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
