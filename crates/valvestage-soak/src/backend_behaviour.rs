//! Modes in which a simulated backend server responds to requests.

/// Way in which a backend server responds to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BackendBehaviour {
    /// Answers every request in the normal time.
    #[default]
    Normal,
    /// Accepts every request, but answers only every second one.
    Failing,
    /// Takes five times the normal time for each request.
    Slow,
}
