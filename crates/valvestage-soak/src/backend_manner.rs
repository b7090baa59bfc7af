//! How a backend server treats requests.

/// `BackendManner` is how a backend server treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BackendManner {
    /// It answers each of them in its usual time.
    #[default]
    Usual,
    /// It takes them all and answers every second one only.
    Failing,
    /// It takes five times as long.
    Slow,
}
